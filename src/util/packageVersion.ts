import { readFileSync } from "node:fs";

/** Version of the installed package, read from package.json. */
export function packageVersion(): string {
    const text = readFileSync(new URL("../../../package.json", import.meta.url), "utf8");
    return (JSON.parse(text) as { readonly version: string; }).version;
}

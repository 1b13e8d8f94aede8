import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";

const run = promisify(execFile);

/** Runs the operators' command `gullhall` and returns its standard output; rejects on a non-zero exit code. */
export async function runGullhall(commandArguments: readonly string[], token: string): Promise<string> {
    const path = fileURLToPath(new URL("../bin/gullhall.js", import.meta.url));
    const environment = { ...process.env, GULLHALL_TOKEN: token };
    const { stdout } = await run(process.execPath, [path, ...commandArguments], { env: environment });
    return stdout;
}

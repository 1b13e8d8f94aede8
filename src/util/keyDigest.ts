import { createHash } from "node:crypto";

/** SHA-256 of a key, in lower-case hexadecimal. */
export function keyDigest(keyText: string): string {
    return createHash("sha256").update(keyText, "utf8").digest("hex");
}

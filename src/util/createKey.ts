import { randomBytes } from "node:crypto";

/** Beginning of every key's text, by which a key can be recognised wherever it stands. */
export const keyPrefix = "ghk_";

/** Random bytes in a key. */
const keyBytes = 32;

/** Makes the text of a new key. */
export function createKey(): string {
    return `${keyPrefix}${randomBytes(keyBytes).toString("base64url")}`;
}

import { randomBytes } from "node:crypto";

/** Prefix of every key, so that keys can be recognised in any text. */
export const keyPrefix = "ghk_";

/** Number of random bytes in a key. */
const randomByteCount = 32;

/** Generates a new random key. */
export function generateKey(): string {
    return `${keyPrefix}${randomBytes(randomByteCount).toString("base64url")}`;
}

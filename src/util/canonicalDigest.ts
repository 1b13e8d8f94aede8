import { createHash } from "node:crypto";

/** SHA-256, in hexadecimal, of a JSON value whose object members are sorted by name; equal values give equal digests. */
export function canonicalDigest(value: unknown): string {
    return createHash("sha256").update(JSON.stringify(sorted(value))).digest("hex");
}

function sorted(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(sorted);
    }
    if (!(value instanceof Object)) {
        return value;
    }
    const entries = Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1);
    return Object.fromEntries(entries.map(([name, member]) => [name, sorted(member)]));
}

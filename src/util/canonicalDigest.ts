import { createHash } from "node:crypto";

/** Hexadecimal SHA-256 of a JSON value; property names are sorted, so that equal values give equal digests. */
export function canonicalDigest(value: unknown): string {
    return createHash("sha256").update(JSON.stringify(withSortedNames(value))).digest("hex");
}

function withSortedNames(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(withSortedNames);
    }
    if (!(value instanceof Object)) {
        return value;
    }
    const entries = Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1);
    return Object.fromEntries(entries.map(([name, member]) => [name, withSortedNames(member)]));
}

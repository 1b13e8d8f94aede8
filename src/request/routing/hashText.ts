/** Hashes the UTF-16 code units of a text with FNV-1a, finalized by {@link mixBits}, to an unsigned 32-bit integer. */
export function hashText(text: string): number {
    let hash = 0x811c9dc5;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
    }
    return mixBits(hash);
}

/** Mixes the bits of a 32-bit integer with the finalizer of MurmurHash3; returns an unsigned 32-bit integer. */
export function mixBits(value: number): number {
    let mixed = Math.imul(value ^ (value >>> 16), 0x85ebca6b);
    mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
    return (mixed ^ (mixed >>> 16)) >>> 0;
}

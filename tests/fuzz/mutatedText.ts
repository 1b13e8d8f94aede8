import fastCheck from "fast-check";

/** One change of a text: some characters at a place are replaced. */
interface Edit {
    readonly place: number;
    readonly removed: number;
    readonly inserted: string;
}

const edits: fastCheck.Arbitrary<Edit> = fastCheck.record({
    place: fastCheck.nat(),
    removed: fastCheck.nat(12),
    inserted: fastCheck.oneof(
        fastCheck.string({ maxLength: 8 }),
        fastCheck.constantFrom(
            "{",
            "}",
            "[",
            "]",
            ",",
            ":",
            "\"",
            "-1",
            "1e999",
            "//",
            "/*",
            "null",
            "__proto__",
            "\0",
        ),
    ),
});

/** A text with a few places changed. */
export function mutatedText(text: string): fastCheck.Arbitrary<string> {
    return fastCheck.array(edits, { minLength: 1, maxLength: 6 }).map(changes => changes.reduce(edit, text));
}

/** Bytes with a few places changed. */
export function mutatedBytes(bytes: Buffer): fastCheck.Arbitrary<Buffer> {
    return mutatedText(bytes.toString("latin1")).map(text => Buffer.from(text, "latin1"));
}

function edit(text: string, { place, removed, inserted }: Edit): string {
    const start = place % (text.length + 1);
    return text.slice(0, start) + inserted + text.slice(start + removed);
}

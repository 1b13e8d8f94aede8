import fastCheck from "fast-check";

/** An edit of a text: replaces some characters at a position, which is taken modulo the length. */
interface Edit {
    readonly position: number;
    readonly removed: number;
    readonly inserted: string;
}

const arbitraryEdit: fastCheck.Arbitrary<Edit> = fastCheck.record({
    position: fastCheck.nat(),
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

/** Generates texts with one to six random edits. */
export function mutatedText(text: string): fastCheck.Arbitrary<string> {
    return fastCheck.array(arbitraryEdit, { minLength: 1, maxLength: 6 }).map(edits => edits.reduce(applyEdit, text));
}

/** Generates bytes with one to six random edits. */
export function mutatedBytes(bytes: Buffer): fastCheck.Arbitrary<Buffer> {
    return mutatedText(bytes.toString("latin1")).map(text => Buffer.from(text, "latin1"));
}

function applyEdit(text: string, { position, removed, inserted }: Edit): string {
    const start = position % (text.length + 1);
    return text.slice(0, start) + inserted + text.slice(start + removed);
}

/** Maximum nesting depth of arrays and objects in JSON from untrusted sources. */
export const maximumNestingDepth = 200;

/** Offset at which the nesting of a JSON text exceeds {@link maximumNestingDepth}; undefined if it does not. */
export function findExcessiveNesting(text: string): number | undefined {
    let depth = 0;
    let inString = false;
    for (let index = 0; index < text.length; index++) {
        const character = text[index];
        if (inString) {
            // An escaped character cannot end the string.
            index += character === "\\" ? 1 : 0;
            inString = character !== "\"";
        }
        else if (character === "\"") {
            inString = true;
        }
        else if (character === "[" || character === "{") {
            depth++;
        }
        else if (character === "]" || character === "}") {
            depth--;
        }
        if (depth > maximumNestingDepth) {
            return index;
        }
    }
    return undefined;
}

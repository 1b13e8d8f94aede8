import type { JSONPath } from "jsonc-parser";
import { z } from "zod";

/** The known name at a place of a schema with the smallest edit distance to an unknown one; "none" if none is known. */
export function nearestName(unknownName: string, schema: z.ZodType, path: JSONPath): string {
    const names = knownNames(schema, path);
    const ranked = names.map(name => ({ name, distance: editDistance(name, unknownName) }));
    ranked.sort((left, right) => left.distance - right.distance);
    return ranked[0]?.name ?? "none";
}

function knownNames(schema: z.ZodType, path: JSONPath): readonly string[] {
    let current: z.core.$ZodType | undefined = schema;
    for (const part of path) {
        current = childOf(current, part);
    }
    const found = unwrap(current);
    return found instanceof z.ZodObject ? Object.keys(found.shape) : [];
}

function childOf(schema: z.core.$ZodType | undefined, part: string | number): z.core.$ZodType | undefined {
    const outer = unwrap(schema);
    if (outer instanceof z.ZodObject) {
        return (outer.shape as Readonly<Record<string, z.core.$ZodType>>)[part];
    }
    if (outer instanceof z.ZodArray) {
        return outer.element;
    }
    return outer instanceof z.ZodRecord ? outer.valueType : undefined;
}

function unwrap(schema: z.core.$ZodType | undefined): z.core.$ZodType | undefined {
    let current = schema;
    while (current instanceof z.ZodOptional || current instanceof z.ZodDefault || current instanceof z.ZodReadonly) {
        current = current.def.innerType;
    }
    return current;
}

/** Levenshtein distance (V. I. Levenshtein, 1966), one row at a time. */
function editDistance(left: string, right: string): number {
    let previous = [...Array(right.length + 1).keys()];
    for (let row = 1; row <= left.length; row++) {
        const current = [row];
        for (let column = 1; column <= right.length; column++) {
            const substitution = (previous[column - 1] ?? 0) + (left[row - 1] === right[column - 1] ? 0 : 1);
            current.push(Math.min((previous[column] ?? 0) + 1, (current[column - 1] ?? 0) + 1, substitution));
        }
        previous = current;
    }
    return previous[right.length] ?? 0;
}

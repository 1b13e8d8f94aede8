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
    let current = alternatives(schema);
    for (const part of path) {
        current = current.flatMap(outer => childrenOf(outer, part));
    }
    return current.flatMap(found => found instanceof z.ZodObject ? Object.keys(found.shape) : []);
}

function childrenOf(outer: z.core.$ZodType, part: string | number): readonly z.core.$ZodType[] {
    if (outer instanceof z.ZodObject) {
        const child = (outer.shape as Readonly<Record<string, z.core.$ZodType | undefined>>)[part];
        return child === undefined ? [] : alternatives(child);
    }
    if (outer instanceof z.ZodArray) {
        return alternatives(outer.element);
    }
    return outer instanceof z.ZodRecord ? alternatives(outer.valueType) : [];
}

/** The schemas that a schema stands for, without wrappers; several for a union. */
function alternatives(schema: z.core.$ZodType): readonly z.core.$ZodType[] {
    if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodReadonly) {
        return alternatives(schema.def.innerType);
    }
    return schema instanceof z.ZodUnion ? schema.options.flatMap(alternatives) : [schema];
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

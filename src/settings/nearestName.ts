import type { JSONPath } from "jsonc-parser";
import { z } from "zod";

/**
 * Finds the property name that a schema allows at a path and that has the smallest edit distance to an unknown name.
 *
 * @returns The closest name, or "none" if the schema defines no property there.
 */
export function nearestName(unknownName: string, schema: z.ZodType, path: JSONPath): string {
    const names = knownNames(schema, path);
    const ranked = names.map(name => ({ name, distance: editDistance(name, unknownName) }));
    ranked.sort((left, right) => left.distance - right.distance);
    return ranked[0]?.name ?? "none";
}

function knownNames(schema: z.ZodType, path: JSONPath): readonly string[] {
    let schemas = unwrapSchema(schema);
    for (const key of path) {
        schemas = schemas.flatMap(parent => childSchemas(parent, key));
    }
    return schemas.flatMap(candidate => candidate instanceof z.ZodObject ? Object.keys(candidate.shape) : []);
}

function childSchemas(parent: z.core.$ZodType, key: string | number): readonly z.core.$ZodType[] {
    if (parent instanceof z.ZodObject) {
        const child = (parent.shape as Readonly<Record<string, z.core.$ZodType | undefined>>)[key];
        return child === undefined ? [] : unwrapSchema(child);
    }
    if (parent instanceof z.ZodArray) {
        return unwrapSchema(parent.element);
    }
    return parent instanceof z.ZodRecord ? unwrapSchema(parent.valueType) : [];
}

/** Unwraps optional, default and read-only schemas, and expands unions to their options. */
function unwrapSchema(schema: z.core.$ZodType): readonly z.core.$ZodType[] {
    if (schema instanceof z.ZodOptional || schema instanceof z.ZodDefault || schema instanceof z.ZodReadonly) {
        return unwrapSchema(schema.def.innerType);
    }
    return schema instanceof z.ZodUnion ? schema.options.flatMap(unwrapSchema) : [schema];
}

/** Levenshtein distance (V. I. Levenshtein, 1966), computed row by row. */
function editDistance(left: string, right: string): number {
    let previousRow = [...Array(right.length + 1).keys()];
    for (let row = 1; row <= left.length; row++) {
        const currentRow = [row];
        for (let column = 1; column <= right.length; column++) {
            const substitutionCost = (previousRow[column - 1] ?? 0) + (left[row - 1] === right[column - 1] ? 0 : 1);
            currentRow.push(
                Math.min((previousRow[column] ?? 0) + 1, (currentRow[column - 1] ?? 0) + 1, substitutionCost),
            );
        }
        previousRow = currentRow;
    }
    return previousRow[right.length] ?? 0;
}

import type { JSONPath } from "jsonc-parser";
import type { z } from "zod";
import { nearestName } from "./nearestName.js";

/** One way in which a value violates its schema. */
export type SchemaFault =
    | { readonly kind: "value"; readonly path: JSONPath; readonly reason: string; }
    | { readonly kind: "unknownName"; readonly path: JSONPath; readonly nearest: string; };

type Issue = z.core.$ZodIssue;

/** The faults behind a schema's issues, in words for the author of the value. */
export function schemaFaults(issues: readonly Issue[], schema: z.ZodType, base: JSONPath = []): readonly SchemaFault[] {
    return issues.flatMap(issue => {
        const path = [...base, ...issue.path.map(part => typeof part === "symbol" ? String(part) : part)];
        if (issue.code === "unrecognized_keys") {
            return issue.keys.map((key): SchemaFault => ({
                kind: "unknownName",
                path: [...path, key],
                nearest: nearestName(key, schema, path),
            }));
        }
        const closest = issue.code === "invalid_union" ? closestAlternative(issue.errors) : undefined;
        return closest === undefined
            ? [{ kind: "value", path, reason: reasonOf(issue) }]
            : schemaFaults(closest, schema, path);
    });
}

/** The issues of the alternative that the value comes closest to: the one whose first fault lies deepest. */
function closestAlternative(alternatives: readonly (readonly Issue[])[]): readonly Issue[] | undefined {
    const depths = alternatives.map(issues => Math.min(...issues.map(issue => issue.path.length)));
    const deepest = Math.max(...depths);
    return deepest > 0 && Number.isFinite(deepest) ? alternatives[depths.indexOf(deepest)] : undefined;
}

function reasonOf(issue: Issue): string {
    if (issue.code === "invalid_union" && issue.errors.length > 0) {
        return issue.errors.flatMap(alternative => alternative.map(reasonOf)).join(" or ");
    }
    const missing = issue.code === "invalid_type" && issue.message.endsWith("received undefined");
    return missing ? `is missing; expected ${issue.expected}` : issue.message;
}

import type { JSONPath } from "jsonc-parser";
import type { z } from "zod";
import { nearestName } from "./nearestName.js";

/** A violation of a schema by one value. */
export type SchemaViolation =
    | { readonly kind: "value"; readonly path: JSONPath; readonly reason: string; }
    | { readonly kind: "unknownName"; readonly path: JSONPath; readonly nearest: string; };

type Issue = z.core.$ZodIssue;

/**
 * Converts the issues that Zod reports to violations with readable reasons and the closest known name of unknown names.
 *
 * @param basePath Path of the value that the schema describes.
 */
export function toSchemaViolations(
    issues: readonly Issue[],
    schema: z.ZodType,
    basePath: JSONPath = [],
): readonly SchemaViolation[] {
    return issues.flatMap(issue => {
        const path = [...basePath, ...issue.path.map(part => typeof part === "symbol" ? String(part) : part)];
        if (issue.code === "unrecognized_keys") {
            return issue.keys.map((key): SchemaViolation => ({
                kind: "unknownName",
                path: [...path, key],
                nearest: nearestName(key, schema, path),
            }));
        }
        const closestIssues = issue.code === "invalid_union" ? closestUnionOption(issue.errors) : undefined;
        return closestIssues === undefined
            ? [{ kind: "value", path, reason: describeIssue(issue) }]
            : toSchemaViolations(closestIssues, schema, path);
    });
}

/** The issues of the union option that matches the value best: the one whose shallowest issue has the longest path. */
function closestUnionOption(options: readonly (readonly Issue[])[]): readonly Issue[] | undefined {
    const depths = options.map(issues => Math.min(...issues.map(issue => issue.path.length)));
    const deepest = Math.max(...depths);
    return deepest > 0 && Number.isFinite(deepest) ? options[depths.indexOf(deepest)] : undefined;
}

function describeIssue(issue: Issue): string {
    if (issue.code === "invalid_union" && issue.errors.length > 0) {
        return issue.errors.flatMap(optionIssues => optionIssues.map(describeIssue)).join(" or ");
    }
    const missing = issue.code === "invalid_type" && issue.message.endsWith("received undefined");
    return missing ? `is missing; expected ${issue.expected}` : issue.message;
}

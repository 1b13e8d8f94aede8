import {
    findNodeAtLocation,
    getLocation,
    getNodeValue,
    parseTree,
    printParseErrorCode,
    stripComments,
} from "jsonc-parser";
import type { JSONPath, Node, ParseError } from "jsonc-parser";
import { match } from "ts-pattern";
import type { z } from "zod";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import { findExcessiveNesting, maximumNestingDepth } from "../util/jsonNesting.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { LineTable } from "./lineTable.js";
import { toSchemaViolations } from "./schemaViolations.js";
import type { SchemaViolation } from "./schemaViolations.js";

/** Maximum length of a document, in UTF-16 code units. */
export const maximumDocumentCharacters = 64 * 1024 * 1024;

/** Maximum number of reported syntax errors; later errors mostly result from the first ones. */
const maximumSyntaxErrors = 100;

/** Location of a value in a document. */
export interface DocumentLocation {
    readonly file: string;
    /** Line number, starting at 1. */
    readonly line: number;
    /** Path in the notation `pools[2].model`. */
    readonly path: string;
}

/** A parsed JSON-with-comments document that maps its values to line numbers. */
export class JsonDocument {
    private constructor(
        /** Name shown in failures: a file path, or another origin of the text. */
        readonly file: string,
        private readonly lineTable: LineTable,
        private readonly tree: Node,
        /** The parsed value, not validated against a schema. */
        readonly value: unknown,
    ) {}

    /** Parses a text; fails with the syntax errors and their lines, or with one failure for excessive nesting. */
    static parse(file: string, text: string): Result<JsonDocument, readonly Failure[]> {
        const lineTable = new LineTable(text);
        const excessiveOffset = findExcessiveNesting(stripComments(text, " "));
        if (excessiveOffset !== undefined) {
            const reason = `nested deeper than ${maximumNestingDepth} levels`;
            return Err([failure("settingsSyntax", { file, line: lineTable.lineAt(excessiveOffset), reason })]);
        }
        const errors: ParseError[] = [];
        const options = { allowTrailingComma: true, allowEmptyContent: false };
        const tree = parseTree(text, errors, options);
        if (tree === undefined || errors.length > 0) {
            return Err(
                errors.slice(0, maximumSyntaxErrors).map(error =>
                    failure("settingsSyntax", {
                        file,
                        line: lineTable.lineAt(error.offset),
                        reason: `${printParseErrorCode(error.error)} at ${formatPathAt(text, error.offset)}`,
                    })
                ),
            );
        }
        return Ok(new JsonDocument(file, lineTable, tree, getNodeValue(tree)));
    }

    /** Line of the value at a path, or of the closest enclosing value; starts at 1. */
    lineOf(path: JSONPath): number {
        for (let length = path.length; length >= 0; length--) {
            const node = findNodeAtLocation(this.tree, path.slice(0, length));
            if (node !== undefined) {
                return this.lineTable.lineAt(node.offset);
            }
        }
        return 1;
    }

    /** File, line and path of a value, in the form that failures contain. */
    locationOf(path: JSONPath): DocumentLocation {
        return { file: this.file, line: this.lineOf(path), path: formatPath(path) };
    }

    /** Validates the value against a schema; fails with every violation and duplicate name, each with its location. */
    validate<Schema extends z.ZodType>(schema: Schema): Result<z.output<Schema>, readonly Failure[]> {
        const parsed = schema.safeParse(this.value);
        const duplicates = this.findDuplicateNames(this.tree, []);
        if (parsed.success && duplicates.length === 0) {
            return Ok(parsed.data);
        }
        const violations = parsed.error === undefined ? [] : toSchemaViolations(parsed.error.issues, schema);
        return Err([...duplicates, ...violations.map(violation => this.toFailure(violation))]);
    }

    private toFailure(violation: SchemaViolation): Failure {
        return match(violation)
            .with(
                { kind: "value" },
                ({ path, reason }) => failure("settingsValue", { ...this.locationOf(path), reason }),
            )
            .with(
                { kind: "unknownName" },
                ({ path, nearest }) => failure("settingsUnknownName", { ...this.locationOf(path), nearest }),
            )
            .exhaustive();
    }

    /** Failures for names that occur more than once in an object: the parser keeps only the last value. */
    private findDuplicateNames(node: Node | undefined, path: JSONPath): readonly Failure[] {
        const children = node?.children ?? [];
        if (node?.type === "array") {
            return children.flatMap((child, index) => this.findDuplicateNames(child, [...path, index]));
        }
        const seenNames = new Set<string>();
        return children.flatMap(property => {
            const [key, value] = property.children ?? [];
            const name = String(key?.value);
            const nestedFailures = this.findDuplicateNames(value, [...path, name]);
            if (!seenNames.has(name)) {
                seenNames.add(name);
                return nestedFailures;
            }
            const location = { file: this.file, line: this.lineTable.lineAt(property.offset) };
            return [
                failure("settingsDuplicateName", { ...location, path: formatPath([...path, name]) }),
                ...nestedFailures,
            ];
        });
    }
}

/** Path in the notation `pools[2].model`. */
export function formatPath(path: JSONPath): string {
    const text = path.map(part => typeof part === "number" ? `[${part}]` : `.${part}`).join("").replace(/^\./, "");
    return text === "" ? "(the whole file)" : text;
}

function formatPathAt(text: string, offset: number): string {
    return formatPath(getLocation(text, offset).path.filter(part => part !== ""));
}

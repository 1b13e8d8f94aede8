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
import { findTooDeep, maximumNesting } from "../util/jsonNesting.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { LineTable } from "./lineTable.js";
import { schemaFaults } from "./schemaFaults.js";
import type { SchemaFault } from "./schemaFaults.js";

/** Largest accepted document, in characters. */
export const maximumDocumentCharacters = 64 * 1024 * 1024;

/** Syntax errors that are listed at most; most of them follow from the first ones. */
const maximumSyntaxErrors = 100;

/** Where a value stands. */
export interface DocumentPlace {
    readonly file: string;
    /** Counted from 1. */
    readonly line: number;
    /** In the notation `pools[2].model`. */
    readonly path: string;
}

/** A JSON-with-comments text whose syntax is known to be right, and the lines of its values. */
export class JsonDocument {
    private constructor(
        /** Name shown in failures: a path, or the origin of the text. */
        readonly file: string,
        private readonly lines: LineTable,
        private readonly tree: Node,
        /** The value of the text; it may have any form. */
        readonly value: unknown,
    ) {}

    /** Parses a text; lists every syntax error with its line. */
    static parse(file: string, text: string): Result<JsonDocument, readonly Failure[]> {
        const lines = new LineTable(text);
        const deepAt = findTooDeep(stripComments(text, " "));
        if (deepAt !== undefined) {
            const reason = `nested deeper than ${maximumNesting} levels`;
            return Err([failure("settingsSyntax", { file, line: lines.lineAt(deepAt), reason })]);
        }
        const errors: ParseError[] = [];
        const options = { allowTrailingComma: true, allowEmptyContent: false };
        const tree = parseTree(text, errors, options);
        if (tree === undefined || errors.length > 0) {
            return Err(
                errors.slice(0, maximumSyntaxErrors).map(error =>
                    failure("settingsSyntax", {
                        file,
                        line: lines.lineAt(error.offset),
                        reason: `${printParseErrorCode(error.error)} at ${pathAt(text, error.offset)}`,
                    })
                ),
            );
        }
        return Ok(new JsonDocument(file, lines, tree, getNodeValue(tree)));
    }

    /** Line of the value at a path, or of the nearest enclosing value; counted from 1. */
    lineOf(path: JSONPath): number {
        for (let length = path.length; length >= 0; length--) {
            const node = findNodeAtLocation(this.tree, path.slice(0, length));
            if (node !== undefined) {
                return this.lines.lineAt(node.offset);
            }
        }
        return 1;
    }

    /** The file, line and path of a value, as failures show them. */
    placeOf(path: JSONPath): DocumentPlace {
        return { file: this.file, line: this.lineOf(path), path: formatPath(path) };
    }

    /** Checks the whole value against a schema; lists every fault with path, line and code. */
    validate<Schema extends z.ZodType>(schema: Schema): Result<z.output<Schema>, readonly Failure[]> {
        const outcome = schema.safeParse(this.value);
        const duplicates = this.duplicateNames(this.tree, []);
        if (outcome.success && duplicates.length === 0) {
            return Ok(outcome.data);
        }
        const faults = outcome.error === undefined ? [] : schemaFaults(outcome.error.issues, schema);
        return Err([...duplicates, ...faults.map(fault => this.failureOf(fault))]);
    }

    private failureOf(fault: SchemaFault): Failure {
        return match(fault)
            .with({ kind: "value" }, ({ path, reason }) => failure("settingsValue", { ...this.placeOf(path), reason }))
            .with(
                { kind: "unknownName" },
                ({ path, nearest }) => failure("settingsUnknownName", { ...this.placeOf(path), nearest }),
            )
            .exhaustive();
    }

    /** Names that stand twice in one object: the parser would keep the last value and drop the others. */
    private duplicateNames(node: Node | undefined, path: JSONPath): readonly Failure[] {
        const children = node?.children ?? [];
        if (node?.type === "array") {
            return children.flatMap((child, index) => this.duplicateNames(child, [...path, index]));
        }
        const seen = new Set<string>();
        return children.flatMap(property => {
            const [key, value] = property.children ?? [];
            const name = String(key?.value);
            const inner = this.duplicateNames(value, [...path, name]);
            if (!seen.has(name)) {
                seen.add(name);
                return inner;
            }
            const place = { file: this.file, line: this.lines.lineAt(property.offset) };
            return [failure("settingsDuplicateName", { ...place, path: formatPath([...path, name]) }), ...inner];
        });
    }
}

/** Path in the notation `pools[2].model`. */
export function formatPath(path: JSONPath): string {
    const text = path.map(part => typeof part === "number" ? `[${part}]` : `.${part}`).join("").replace(/^\./, "");
    return text === "" ? "(the whole file)" : text;
}

function pathAt(text: string, offset: number): string {
    return formatPath(getLocation(text, offset).path.filter(part => part !== ""));
}

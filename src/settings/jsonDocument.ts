import { findNodeAtLocation, getLocation, parse, parseTree, printParseErrorCode, stripComments } from "jsonc-parser";
import type { JSONPath, Node, ParseError } from "jsonc-parser";
import type { z } from "zod";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import { findTooDeep, maximumNesting } from "../util/jsonNesting.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { nearestName } from "./nearestName.js";

/** Largest accepted document, in characters. */
export const maximumDocumentCharacters = 64 * 1024 * 1024;

/** A JSON-with-comments text whose syntax is known to be right, and the lines of its values. */
export class JsonDocument {
    private constructor(
        /** Name shown in failures: a path, or the origin of the text. */
        readonly file: string,
        private readonly text: string,
        private readonly tree: Node | undefined,
        private readonly value: unknown,
    ) {}

    /** Parses a text; lists every syntax error with its line. */
    static parse(file: string, text: string): Result<JsonDocument, readonly Failure[]> {
        const deepAt = findTooDeep(stripComments(text, " "));
        if (deepAt !== undefined) {
            const reason = `nested deeper than ${maximumNesting} levels`;
            return Err([failure("settingsSyntax", { file, line: lineAt(text, deepAt), reason })]);
        }
        const errors: ParseError[] = [];
        const options = { allowTrailingComma: true, allowEmptyContent: false };
        const value: unknown = parse(text, errors, options);
        if (errors.length > 0) {
            return Err(errors.map(error =>
                failure("settingsSyntax", {
                    file,
                    line: lineAt(text, error.offset),
                    reason: `${printParseErrorCode(error.error)} at ${pathAt(text, error.offset)}`,
                })
            ));
        }
        return Ok(new JsonDocument(file, text, parseTree(text, [], options), value));
    }

    /** Line of the value at a path, or of the nearest enclosing value; counted from 1. */
    lineOf(path: JSONPath): number {
        for (let length = path.length; length >= 0 && this.tree !== undefined; length--) {
            const node = findNodeAtLocation(this.tree, path.slice(0, length));
            if (node !== undefined) {
                return lineAt(this.text, node.offset);
            }
        }
        return 1;
    }

    /** Checks the whole value against a schema; lists every fault with path, line and code. */
    validate<Schema extends z.ZodType>(schema: Schema): Result<z.output<Schema>, readonly Failure[]> {
        const outcome = schema.safeParse(this.value);
        if (outcome.success) {
            return Ok(outcome.data);
        }
        return Err(outcome.error.issues.flatMap(issue => this.failuresOf(issue, schema)));
    }

    private failuresOf(issue: z.core.$ZodIssue, schema: z.ZodType): readonly Failure[] {
        const path = issue.path.map(part => typeof part === "symbol" ? String(part) : part);
        if (issue.code !== "unrecognized_keys") {
            const place = { file: this.file, line: this.lineOf(path), path: formatPath(path) };
            return [failure("settingsValue", { ...place, reason: issue.message })];
        }
        return issue.keys.map(key => {
            const keyPath = [...path, key];
            const place = { file: this.file, line: this.lineOf(keyPath), path: formatPath(keyPath) };
            return failure("settingsUnknownName", { ...place, nearest: nearestName(key, schema, path) });
        });
    }
}

/** Path in the notation `pools[2].model`. */
export function formatPath(path: JSONPath): string {
    const text = path.map(part => typeof part === "number" ? `[${part}]` : `.${part}`).join("").replace(/^\./, "");
    return text === "" ? "(the whole file)" : text;
}

function lineAt(text: string, offset: number): number {
    let line = 1;
    for (let index = text.indexOf("\n"); index !== -1 && index < offset; index = text.indexOf("\n", index + 1)) {
        line++;
    }
    return line;
}

function pathAt(text: string, offset: number): string {
    return formatPath(getLocation(text, offset).path.filter(part => part !== ""));
}

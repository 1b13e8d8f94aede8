import type { Result } from "../util/result.js";
import type { CommandError } from "./commandError.js";
import type { Surroundings } from "./surroundings.js";

/** What a command shows on success. */
export interface CommandAnswer {
    /** For programs: printed as one line of JSON. */
    readonly value: unknown;
    /** For people. */
    readonly lines: readonly string[];
}

/** How a command ended. */
export type CommandResult = Result<CommandAnswer, readonly CommandError[]>;

/** Prints what a command shows: its answer on standard output, or its errors on standard error. */
export function printResult(surroundings: Surroundings, json: boolean, result: CommandResult): void {
    if (result.err) {
        printErrors(surroundings, json, result.val);
        return;
    }
    const { value, lines } = result.val;
    surroundings.writeOutput(`${json ? JSON.stringify(value) : lines.join("\n")}\n`);
}

/** Prints errors: one line each, or one JSON object. */
export function printErrors(surroundings: Surroundings, json: boolean, errors: readonly CommandError[]): void {
    const text = json ? JSON.stringify({ errors }) : errors.map(error => error.message).join("\n");
    surroundings.writeError(`${text}\n`);
}

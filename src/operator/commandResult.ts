import type { Result } from "../util/result.js";
import type { CommandContext } from "./commandContext.js";
import type { CommandError } from "./commandError.js";

/** Output of a command that succeeded. */
export interface CommandOutput {
    /** Printed as one line of JSON with `--json`. */
    readonly value: unknown;
    /** Printed as text without `--json`. */
    readonly lines: readonly string[];
}

/** Output of a command, or the errors with which it failed. */
export type CommandResult = Result<CommandOutput, readonly CommandError[]>;

/** Prints the output of a command to standard output, or its errors to standard error. */
export function printResult(context: CommandContext, json: boolean, result: CommandResult): void {
    if (result.err) {
        printErrors(context, json, result.val);
        return;
    }
    const { value, lines } = result.val;
    context.writeOutput(`${json ? JSON.stringify(value) : lines.join("\n")}\n`);
}

/** Prints errors to standard error, either one per line or as a single JSON object. */
export function printErrors(context: CommandContext, json: boolean, errors: readonly CommandError[]): void {
    const text = json ? JSON.stringify({ errors }) : errors.map(error => error.message).join("\n");
    context.writeError(`${text}\n`);
}

import { exitFailure } from "../util/exitCode.js";
import type { Result } from "../util/result.js";
import type { CommandError } from "./commandError.js";

/** What a command shows on success. */
export interface CommandAnswer {
    /** For programs: printed as one line of JSON. */
    readonly value: unknown;
    /** For people. */
    readonly lines: readonly string[];
}

/** How a command ended. */
export type CommandResult = Result<CommandAnswer, readonly CommandError[]>;

/**
 * Runs a command, prints its answer or its errors, and sets the exit code of the process.
 *
 * @param failureCode Exit code when the command fails.
 */
export async function runCommand(
    json: boolean,
    command: () => Promise<CommandResult>,
    failureCode = exitFailure,
): Promise<void> {
    const result = await command();
    if (result.ok) {
        const { value, lines } = result.val;
        process.stdout.write(`${json ? JSON.stringify(value) : lines.join("\n")}\n`);
        return;
    }
    printErrors(json, result.val);
    process.exitCode = failureCode;
}

/** Prints errors on standard error: one line each, or one JSON object. */
export function printErrors(json: boolean, errors: readonly CommandError[]): void {
    const text = json ? JSON.stringify({ errors }) : errors.map(error => error.message).join("\n");
    process.stderr.write(`${text}\n`);
}

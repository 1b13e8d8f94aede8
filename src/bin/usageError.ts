import { toCommandError } from "../operator/commandError.js";
import { failure } from "../resultCode/resultCode.js";
import { exitUsage } from "../util/exitCode.js";

/**
 * Creates a handler for command-line errors that prints one line with a result code and exits.
 *
 * @param program Name of the program, shown in the advice to run `--help`.
 */
export function usageErrorHandler(program: string): (message: string | undefined, error: Error | undefined) => never {
    return (message, error) => {
        const reason = message ?? error?.message ?? "it cannot be read";
        process.stderr.write(`${toCommandError(failure("commandLineInvalid", { reason, program })).message}\n`);
        process.exit(exitUsage);
    };
}

import { toCommandError } from "../operator/commandError.js";
import { failure } from "../resultCode/resultCode.js";
import { exitUsage } from "../util/exitCode.js";

/**
 * Makes the handler of faults in a command line: it prints one numbered line and ends the process.
 *
 * @param program Name of the program.
 */
export function usageFaultHandler(program: string): (message: string | undefined, error: Error | undefined) => never {
    return (message, error) => {
        const reason = message ?? error?.message ?? "it cannot be read";
        process.stderr.write(`${toCommandError(failure("commandLineInvalid", { reason, program })).message}\n`);
        process.exit(exitUsage);
    };
}

import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";

/** Exit code and output of a program that has exited. */
export interface ProgramResult {
    readonly exitCode: number;
    readonly output: string;
    readonly errors: string;
}

/** Value of the exit code if a signal ended the program. */
const signalExitCode = -1;

/**
 * Runs a program of this package and waits until it exits; never rejects.
 *
 * @param name File name below `src/bin`, without extension.
 * @param environment Environment variables to set in addition to those of this process.
 */
export function runToCompletion(
    name: string,
    programArguments: readonly string[],
    environment: Readonly<Record<string, string>> = {},
): Promise<ProgramResult> {
    const path = fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));
    return new Promise(resolve => {
        const options = { env: { ...process.env, ...environment } };
        const child = execFile(process.execPath, [path, ...programArguments], options, (error, output, errors) => {
            const exitCode = error instanceof Error ? child.exitCode ?? signalExitCode : 0;
            resolve({ exitCode, output, errors });
        });
    });
}

/**
 * Runs `gullhall` and returns its standard output; rejects with its standard error output if the exit code is not 0.
 */
export async function runGullhall(commandArguments: readonly string[], token: string): Promise<string> {
    const result = await runToCompletion("gullhall", commandArguments, { GULLHALL_TOKEN: token });
    if (result.exitCode !== 0) {
        throw new Error(result.errors);
    }
    return result.output;
}

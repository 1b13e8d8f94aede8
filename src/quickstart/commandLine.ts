import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";

/** How a run of a program ended. */
export interface ProgramRun {
    readonly exitCode: number;
    readonly output: string;
    readonly errors: string;
}

/** Exit code that stands for the end by a signal. */
const signalled = -1;

/** Runs a program of the package to its end. */
export function runToEnd(
    name: string,
    programArguments: readonly string[],
    environment: Readonly<Record<string, string>> = {},
): Promise<ProgramRun> {
    const path = fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));
    return new Promise(resolve => {
        const options = { env: { ...process.env, ...environment } };
        const child = execFile(process.execPath, [path, ...programArguments], options, (failed, output, errors) => {
            const exitCode = failed instanceof Error ? child.exitCode ?? signalled : 0;
            resolve({ exitCode, output, errors });
        });
    });
}

/** Runs the operators' command `gullhall` and returns its standard output; rejects on a non-zero exit code. */
export async function runGullhall(commandArguments: readonly string[], token: string): Promise<string> {
    const run = await runToEnd("gullhall", commandArguments, { GULLHALL_TOKEN: token });
    if (run.exitCode !== 0) {
        throw new Error(run.errors);
    }
    return run.output;
}

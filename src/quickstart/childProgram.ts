import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const runningPrograms = new Set<ChildProcess>();

// Kills programs that are still running when the quickstart or a test exits because of an error.
process.once("exit", () => {
    runningPrograms.forEach(program => program.kill("SIGKILL"));
});

/** A program of this package, run as a child process for the quickstart, a test or a measurement. */
export class ChildProgram implements AsyncDisposable {
    private constructor(
        /** The child process. */
        private readonly child: ChildProcess,
        /** The JSON object that the program printed as its first line when it was ready. */
        readonly startupMessage: Readonly<Record<string, string>>,
        /** Resolves when the process has exited and its output is closed. */
        readonly closed: Promise<void>,
    ) {}

    /**
     * Starts a program and waits until it is ready; rejects if it exits before.
     *
     * @param name File name below `src/bin`, without extension.
     */
    static async start(name: string, programArguments: readonly string[]): Promise<ChildProgram> {
        const path = fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));
        const childProcess = spawn(process.execPath, [path, ...programArguments], {
            stdio: ["ignore", "pipe", "inherit"],
        });
        runningPrograms.add(childProcess);
        childProcess.once("close", () => runningPrograms.delete(childProcess));
        const lines = createInterface({ input: childProcess.stdout });
        const firstLine = once(lines, "line") as Promise<[string]>;
        const closed = once(childProcess, "close").then(() => undefined);
        const line = await Promise.race([firstLine, closed]);
        if (line === undefined) {
            throw new Error(`${name} exited before it was ready.`);
        }
        return new ChildProgram(childProcess, JSON.parse(line[0]) as Readonly<Record<string, string>>, closed);
    }

    /** Exit code of the program; undefined while it is running, or if a signal ended it. */
    get exitCode(): number | undefined {
        return this.child.exitCode ?? undefined;
    }

    /** Process ID; 0 if the process could not be started. */
    get processId(): number {
        return this.child.pid ?? 0;
    }

    /** Kills the program immediately, which simulates the loss of its VM, and waits until it has exited. */
    async kill(): Promise<void> {
        this.child.kill("SIGKILL");
        await this.closed;
    }

    /** Suspends the program until {@link resume}, which simulates a stalled VM. */
    suspend(): void {
        this.child.kill("SIGSTOP");
    }

    /** Resumes a suspended program. */
    resume(): void {
        this.child.kill("SIGCONT");
    }

    /** Requests a graceful stop and waits until the program has exited. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.child.kill("SIGTERM");
        await this.closed;
    }
}

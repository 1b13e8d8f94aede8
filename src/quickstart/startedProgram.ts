import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

const runningPrograms = new Set<ChildProcess>();

// A program must not outlive a tour or test that ends by an error.
process.once("exit", () => {
    runningPrograms.forEach(program => program.kill("SIGKILL"));
});

/** A program of the package that was started for the quickstart or a test, and its first line of output. */
export class StartedProgram implements AsyncDisposable {
    private constructor(
        /** The running process. */
        private readonly child: ChildProcess,
        /** The JSON object that the program printed when it began to serve. */
        readonly shown: Readonly<Record<string, string>>,
        /** Resolves when the process has ended. */
        readonly closed: Promise<void>,
    ) {}

    /**
     * Starts a program and waits until it serves; rejects when it ends before.
     *
     * @param name File name below `src/bin`, without extension.
     */
    static async start(name: string, programArguments: readonly string[]): Promise<StartedProgram> {
        const path = fileURLToPath(new URL(`../bin/${name}.js`, import.meta.url));
        const started = spawn(process.execPath, [path, ...programArguments], { stdio: ["ignore", "pipe", "inherit"] });
        runningPrograms.add(started);
        started.once("close", () => runningPrograms.delete(started));
        const lines = createInterface({ input: started.stdout });
        const firstLine = once(lines, "line") as Promise<[string]>;
        const closed = once(started, "close").then(() => undefined);
        const line = await Promise.race([firstLine, closed]);
        if (line === undefined) {
            throw new Error(`${name} ended before it served.`);
        }
        return new StartedProgram(started, JSON.parse(line[0]) as Readonly<Record<string, string>>, closed);
    }

    /** Exit code of the program; undefined while it runs, and when a signal ended it. */
    get exitCode(): number | undefined {
        return this.child.exitCode ?? undefined;
    }

    /** Identifier of the process, under which the system accounts for it. */
    get processId(): number {
        return this.child.pid ?? 0;
    }

    /** Ends the program at once, as the loss of its VM would, and waits for its end. */
    async kill(): Promise<void> {
        this.child.kill("SIGKILL");
        await this.closed;
    }

    /** Stops the program from running, as a stalled VM would, until {@link resume}. */
    pause(): void {
        this.child.kill("SIGSTOP");
    }

    /** Lets a paused program go on. */
    resume(): void {
        this.child.kill("SIGCONT");
    }

    /** Asks the program to stop and waits for its end. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.child.kill("SIGTERM");
        await this.closed;
    }
}

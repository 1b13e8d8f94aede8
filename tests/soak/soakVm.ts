import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { closeSync, fstatSync, openSync } from "node:fs";
import { mkdir, readFile, rm, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Milliseconds } from "../../src/util/clock.js";
import type { VmCommand } from "./program/vmCommand.js";

/** Time from SIGTERM to SIGKILL. */
const stopGracePeriod: Milliseconds = 8_000;

/** A signal that is sent to a process during a stop. */
export interface StopSignal {
    readonly name: "SIGTERM" | "SIGINT" | "SIGHUP";
    /** Time from the beginning of the stop. */
    readonly delay: Milliseconds;
}

/** A planned stop of a process. */
export interface PlannedStop {
    /** When the first signal was sent that stops the process. */
    readonly signalledAt: Milliseconds;
    readonly exitedAt: Milliseconds;
    /** How the process ended, unless it ended by itself in time and successfully. */
    readonly fault: string | undefined;
}

/** Kind of the process that a VM runs. */
export type VmRole = "control" | "entry";

/** Settings file of a process, in the format that the platform writes. */
export type BootSettings = Readonly<Record<string, unknown>>;

/** VM of the soak: a child process with a data folder, which can be killed, stopped, paused and started again. */
export class SoakVm {
    /** Time at which the process was last resumed or its links were last restored. */
    lastDisruptedAt: Milliseconds = -Infinity;
    /** Number of times the process was started. */
    startCount = 0;
    private child: ChildProcess | undefined;
    private launchInProgress: Promise<void> | undefined;
    private isPaused = false;
    /** Size of the log when the process was last started. */
    private previousLogSize = 0;

    /**
     * @param folder Folder of the settings file, the log and the data folder.
     * @param createSettings Returns the current settings; its argument is true at the very first start.
     */
    constructor(
        readonly vmNumber: number,
        readonly role: VmRole,
        readonly host: string,
        private readonly folder: string,
        private readonly createSettings: (isFirstStart: boolean) => BootSettings,
    ) {}

    get isRunning(): boolean {
        return this.child !== undefined;
    }

    /** Whether the process runs and is not paused. */
    get isActive(): boolean {
        return this.isRunning && !this.isPaused;
    }

    /** Folder that represents the disk of the VM. */
    get dataFolder(): string {
        return join(this.folder, "data");
    }

    /** Starts the process unless it runs; concurrent calls start it once. */
    async start(isFirstStart = false): Promise<void> {
        if (this.child !== undefined) {
            return;
        }
        this.launchInProgress ??= this.launch(isFirstStart).finally(() => {
            this.launchInProgress = undefined;
        });
        await this.launchInProgress;
    }

    private async launch(isFirstStart: boolean): Promise<void> {
        await mkdir(this.dataFolder, { recursive: true });
        await this.writeSettings(isFirstStart);
        const output = openSync(this.logPath, "a");
        this.previousLogSize = fstatSync(output).size;
        const program = fileURLToPath(new URL("program/main.js", import.meta.url));
        const child = fork(program, [this.role, this.host], {
            env: { ...process.env, GULLHALL_BOOT: this.settingsPath },
            stdio: ["ignore", output, output, "ipc"],
        });
        closeSync(output);
        this.startCount++;
        this.child = child;
        child.once("exit", () => {
            if (this.child === child) {
                this.child = undefined;
                this.isPaused = false;
            }
        });
        // A command may be sent while the process exits.
        child.on("error", () => undefined);
        await once(child, "spawn");
    }

    /** Kills the process and waits until it has exited. */
    async kill(): Promise<void> {
        const { child } = this;
        if (child !== undefined) {
            const exited = once(child, "exit");
            child.kill("SIGKILL");
            await exited;
        }
    }

    /** Stops the process by signals, and kills it after the grace period; undefined if it does not run. */
    async stop(signals: readonly StopSignal[]): Promise<PlannedStop | undefined> {
        const { child, previousLogSize } = this;
        if (child === undefined) {
            return undefined;
        }
        let signalledAt = Infinity;
        const exited = once(child, "exit");
        const timers = signals.map(({ name, delay }) =>
            setTimeout(() => {
                signalledAt = Math.min(signalledAt, name === "SIGHUP" ? Infinity : performance.now());
                child.kill(name);
            }, delay)
        );
        timers.push(setTimeout(() => child.kill("SIGKILL"), stopGracePeriod));
        await exited;
        const exitedAt = performance.now();
        timers.forEach(clearTimeout);
        const { exitCode, signalCode } = child;
        // A signal that arrives before the program runs ends the process at once.
        const hasBegun = (await readFile(this.logPath)).includes("processStarted", previousLogSize);
        const isFault = exitCode !== 0 && (hasBegun || typeof exitCode === "number" || signalCode === "SIGKILL");
        return { signalledAt, exitedAt, fault: isFault ? `ended with ${signalCode ?? exitCode ?? ""}` : undefined };
    }

    /** Suspends the process until {@link resume}. */
    pause(): void {
        this.isPaused = this.child !== undefined;
        this.child?.kill("SIGSTOP");
    }

    /** Resumes a suspended process. */
    resume(): void {
        this.isPaused = false;
        this.lastDisruptedAt = performance.now();
        this.child?.kill("SIGCONT");
    }

    /** Writes the current settings and makes the process reload them. */
    async reload(): Promise<void> {
        await this.writeSettings(false);
        this.child?.kill("SIGHUP");
    }

    /** Sends a command to the process; has no effect unless the process runs. */
    sendCommand(command: VmCommand): void {
        if (this.child?.connected === true) {
            this.child.send(command, () => undefined);
        }
    }

    /** Deletes the data folder; the process must not run. */
    async deleteDataFolder(): Promise<void> {
        await rm(this.dataFolder, { recursive: true, force: true });
    }

    private get logPath(): string {
        return join(this.folder, "log.jsonl");
    }

    private get settingsPath(): string {
        return join(this.folder, "settings.json");
    }

    private async writeSettings(isFirstStart: boolean): Promise<void> {
        await writeFile(this.settingsPath, JSON.stringify(this.createSettings(isFirstStart)));
    }
}

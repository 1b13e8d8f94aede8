import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync } from "node:fs";
import { mkdir, rm, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Milliseconds } from "../../src/util/clock.js";
import type { VmCommand } from "./program/vmCommand.js";

/** Time from SIGTERM to SIGKILL. */
const stopGracePeriod: Milliseconds = 8_000;

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
        const output = openSync(join(this.folder, "log.jsonl"), "a");
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

    /** Stops the process gracefully, and kills it after the grace period; returns whether it stopped without that. */
    async stop(): Promise<boolean> {
        const { child } = this;
        if (child === undefined) {
            return true;
        }
        const exited = once(child, "exit");
        child.kill("SIGTERM");
        const timer = setTimeout(() => child.kill("SIGKILL"), stopGracePeriod);
        await exited;
        clearTimeout(timer);
        return typeof child.signalCode !== "string";
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

    private get settingsPath(): string {
        return join(this.folder, "settings.json");
    }

    private async writeSettings(isFirstStart: boolean): Promise<void> {
        await writeFile(this.settingsPath, JSON.stringify(this.createSettings(isFirstStart)));
    }
}

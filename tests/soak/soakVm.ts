import { fork } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync } from "node:fs";
import { mkdir, rm, writeFile } from "node:fs/promises";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { Milliseconds } from "../../src/util/clock.js";
import type { VmOrder } from "./program/vmOrder.js";

/** Time from SIGTERM to SIGKILL. */
const grace: Milliseconds = 8_000;

/** What a VM runs. */
export type VmRole = "control" | "entry";

/** The settings of a VM as the platform writes them. */
export type BootSettings = Readonly<Record<string, unknown>>;

/** A VM of the soak: one real process, which can be stopped, paused, killed, emptied and started again. */
export class SoakVm {
    /** When the process last woke or its links last healed. */
    disturbedAt: Milliseconds = -Infinity;
    /** Number of starts. */
    starts = 0;
    private child: ChildProcess | undefined;
    private launching: Promise<void> | undefined;
    private isPaused = false;

    /**
     * @param folder Where its settings, its log and its disk are kept.
     * @param settings The settings at present, by whether this is the first start of all.
     */
    constructor(
        readonly vm: number,
        readonly role: VmRole,
        readonly host: string,
        private readonly folder: string,
        private readonly settings: (isFirstStart: boolean) => BootSettings,
    ) {}

    get isRunning(): boolean {
        return this.child !== undefined;
    }

    /** Whether the process runs and is not paused. */
    get isActive(): boolean {
        return this.isRunning && !this.isPaused;
    }

    /** Folder that stands for its disk. */
    get dataFolder(): string {
        return join(this.folder, "data");
    }

    /** Starts the process unless it runs; starts that overlap are one. */
    async start(isFirstStart = false): Promise<void> {
        if (this.child !== undefined) {
            return;
        }
        this.launching ??= this.launch(isFirstStart).finally(() => {
            this.launching = undefined;
        });
        await this.launching;
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
        this.starts++;
        this.child = child;
        child.once("exit", () => {
            if (this.child === child) {
                this.child = undefined;
                this.isPaused = false;
            }
        });
        // An order may cross the end of the process.
        child.on("error", () => undefined);
        await once(child, "spawn");
    }

    /** Ends the process at once. */
    async kill(): Promise<void> {
        const { child } = this;
        if (child !== undefined) {
            const ended = once(child, "exit");
            child.kill("SIGKILL");
            await ended;
        }
    }

    /** Asks the process to stop, and ends it when it outlasts the time for it; whether it stopped by itself. */
    async stop(): Promise<boolean> {
        const { child } = this;
        if (child === undefined) {
            return true;
        }
        const ended = once(child, "exit");
        child.kill("SIGTERM");
        const timer = setTimeout(() => child.kill("SIGKILL"), grace);
        await ended;
        clearTimeout(timer);
        return typeof child.signalCode !== "string";
    }

    /** Stops the process from running until {@link resume}. */
    pause(): void {
        this.isPaused = this.child !== undefined;
        this.child?.kill("SIGSTOP");
    }

    resume(): void {
        this.isPaused = false;
        this.disturbedAt = performance.now();
        this.child?.kill("SIGCONT");
    }

    /** Tells the process that its settings have changed. */
    async reload(): Promise<void> {
        await this.writeSettings(false);
        this.child?.kill("SIGHUP");
    }

    order(order: VmOrder): void {
        if (this.child?.connected === true) {
            this.child.send(order, () => undefined);
        }
    }

    /** Empties the disk of a VM that does not run. */
    async wipe(): Promise<void> {
        await rm(this.dataFolder, { recursive: true, force: true });
    }

    private get settingsPath(): string {
        return join(this.folder, "settings.json");
    }

    private async writeSettings(isFirstStart: boolean): Promise<void> {
        await writeFile(this.settingsPath, JSON.stringify(this.settings(isFirstStart)));
    }
}

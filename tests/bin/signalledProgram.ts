import { spawn } from "node:child_process";
import type { ChildProcessWithoutNullStreams } from "node:child_process";
import { once } from "node:events";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import { allocateFreeAddresses } from "../../src/quickstart/freeAddresses.js";
import { splitAddress } from "../../src/util/socketAddress.js";

/** Signals that the programs handle. */
export type TestedSignal = "SIGTERM" | "SIGINT" | "SIGHUP";

/** Programs that serve until they are stopped. */
export const serverPrograms = [
    "gullhallEntry",
    "gullhallControl",
    "gullhallHostedEntry",
    "gullhallHostedControl",
] as const;

/** A program that serves until it is stopped. */
export type ServerProgramName = (typeof serverPrograms)[number];

/** How a process ended. */
export interface ProcessEnd {
    readonly code: number | undefined;
    readonly signal: string | undefined;
}

/** The end of a process that was stopped in order. */
export const orderlyEnd: ProcessEnd = { code: 0, signal: undefined };

/** One line of a log. */
export interface LogLine extends Readonly<Record<string, unknown>> {
    readonly event?: number;
}

/** A program that runs as a child process and receives signals. */
export class SignalledProgram implements AsyncDisposable {
    private readonly lines: LogLine[] = [];
    private errorText = "";
    private readonly ended: Promise<ProcessEnd>;
    private hasEnded = false;

    private constructor(private readonly child: ChildProcessWithoutNullStreams, private readonly folder: string) {
        createInterface({ input: child.stdout }).on("line", line => {
            this.lines.push(JSON.parse(line) as LogLine);
        });
        child.stderr.on("data", (bytes: Buffer) => {
            this.errorText += bytes.toString();
        });
        this.ended = once(child, "close").then(([code, signal]: readonly unknown[]) => {
            this.hasEnded = true;
            return {
                code: typeof code === "number" ? code : undefined,
                signal: typeof signal === "string" ? signal : undefined,
            };
        });
    }

    /**
     * Starts a server program with settings of its own.
     *
     * @param host Loopback address of the process, unique among tests that run concurrently.
     * @param changes Settings that differ.
     * @param path Path of the compiled program.
     */
    static async start(
        name: ServerProgramName,
        host: string,
        changes: object = {},
        path = `dist/src/bin/${name}.js`,
    ): Promise<SignalledProgram> {
        const folder = await mkdtemp(join(tmpdir(), "gullhall-signals-"));
        const settingsPath = join(folder, "settings.json");
        const settings = await settingsOf(name, host, join(folder, "data"));
        await writeFile(settingsPath, JSON.stringify({ ...settings, ...changes }));
        return name === "gullhallEntry" || name === "gullhallControl"
            ? SignalledProgram.run(folder, path, "", "--settings", settingsPath)
            : SignalledProgram.run(folder, path, settingsPath);
    }

    /**
     * Runs a program.
     *
     * @param folder Folder of the program, removed at the end.
     * @param hostedSettings Path of the settings file of a hosted program.
     */
    static async run(
        folder: string,
        path: string,
        hostedSettings: string,
        ...flags: readonly string[]
    ): Promise<SignalledProgram> {
        const preload = new URL("reportSignalHandlers.js", import.meta.url).href;
        const child = spawn(process.execPath, ["--import", preload, path, ...flags], {
            env: { ...process.env, GULLHALL_BOOT: hostedSettings },
        });
        child.stdin.end();
        await once(child, "spawn");
        return new SignalledProgram(child, folder);
    }

    /** The lines of the log that were received. */
    get log(): readonly LogLine[] {
        return this.lines.filter(line => line.event !== undefined);
    }

    /** Numbers of the events of the log from the beginning of the stop. */
    get stopEvents(): readonly (number | undefined)[] {
        return this.log.map(line => line.event).filter(event => event !== undefined && event >= 2001 && event <= 2003);
    }

    /** What the program wrote to standard error. */
    get errors(): string {
        return this.errorText;
    }

    /** Whether handlers of all signals were installed. */
    get hasHandlers(): boolean {
        return this.errorText.includes("handlersInstalled");
    }

    /** Whether the process has ended. */
    get isGone(): boolean {
        return this.hasEnded;
    }

    /** Sends signals one after the other, with a pause before each. */
    async signal(pause: number, ...signals: readonly TestedSignal[]): Promise<void> {
        for (const signal of signals) {
            await sleep(pause);
            this.child.kill(signal);
        }
    }

    /** Sends the signals in turn until the process has ended; returns how it ended. */
    async signalUntilEnd(pause: number, ...signals: readonly TestedSignal[]): Promise<ProcessEnd> {
        while (!this.hasEnded) {
            await this.signal(pause, ...signals);
        }
        return await this.ended;
    }

    /** Waits until the condition holds, or until the process has ended. */
    async waitUntil(condition: (program: this) => boolean): Promise<void> {
        while (!this.hasEnded && !condition(this)) {
            await sleep(5);
        }
    }

    /** Waits until an event is in the log, or until the process has ended. */
    async waitForEvent(number: number): Promise<void> {
        await this.waitUntil(() => this.lines.some(line => line.event === number));
    }

    /** Waits until the process has ended. */
    async waitForEnd(): Promise<ProcessEnd> {
        return await this.ended;
    }

    /** Kills the process if it still runs, and removes its folder. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.child.kill("SIGKILL");
        await this.ended;
        await rm(this.folder, { recursive: true, force: true });
    }
}

/** Creates valid settings of a program whose other processes cannot be reached. */
export async function settingsOf(name: ServerProgramName, host: string, dataFolder: string): Promise<object> {
    const addresses = await allocateFreeAddresses(4);
    const [first = 0, second = 0, third = 0, fourth = 0] = addresses.map(address => splitAddress(address).port);
    const common = { cluster: "signals", name: "vm-1", failureDomain: "north" };
    const hosted = {
        "node": "vm-1",
        "ip-address": host,
        "zone": "north",
        "internal-ports": [first, first + 10],
        "seeds": [`${host}:${second}`],
        "bootstrap": true,
        "bounds": { "grace-s": 8 },
        "cloud-api": { address: `${host}:${third}` },
    };
    switch (name) {
        case "gullhallEntry":
            return {
                ...common,
                callerAddress: `${host}:${first}`,
                metricsAddress: `${host}:${second}`,
                controlAddresses: [`${host}:${third}`],
                discoverySeconds: 1,
            };
        case "gullhallControl":
            return {
                ...common,
                controls: [{
                    name: common.name,
                    peerAddress: `${host}:${first}`,
                    operatorAddress: `${host}:${second}`,
                    entryAddress: `${host}:${third}`,
                }],
                metricsAddress: `${host}:${fourth}`,
                peerSecurity: { kind: "plainOnLoopback" },
                dataFolder,
                operators: [],
            };
        case "gullhallHostedEntry":
            return {
                ...hosted,
                "listen-addresses": { frontend: `${host}:${third}`, readiness: `${host}:${fourth}` },
            };
        case "gullhallHostedControl":
            return {
                ...hosted,
                "listen-addresses": { "control-plane": `${host}:${second}` },
                "data-directory": dataFolder,
            };
    }
}

import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { DisposableStore } from "../util/disposableStore.js";
import { generateKey } from "../util/generateKey.js";
import { keyDigest } from "../util/keyDigest.js";
import { ChildProgram } from "./childProgram.js";
import { allocateFreeAddresses } from "./freeAddresses.js";
import { runGullhall } from "./runToCompletion.js";

/** Failure domains of the cluster; each holds one control process. */
const failureDomains = ["hobart-a", "hobart-b", "kingston-c"] as const;

/** Number of addresses of one control process: one each for peers, operators and entries. */
const addressesPerControl = 3;

/**
 * How long callers may cache a discovery response, in seconds. A stopping entry serves for this long after it has left
 * discovery, so a short time lets the cluster stop quickly.
 */
const discoveryLifetimeSeconds = 1;

/** A control or entry process of a cluster; it can be restarted with the same settings. */
export class ClusterProcess implements AsyncDisposable {
    private runningProgram: ChildProgram | undefined;
    private lastCallerAddress = "";
    private lastExitCode: number | undefined;

    constructor(
        readonly name: string,
        private readonly program: "gullhallControl" | "gullhallEntry",
        private readonly settingsFile: string,
        /** Data folder of a control process; empty for entries, which store nothing. */
        readonly dataFolder: string,
    ) {}

    /** Exit code of the last graceful stop; undefined if there was none. */
    get exitCode(): number | undefined {
        return this.lastExitCode;
    }

    /** The running program; throws if there is none. */
    get startedProgram(): ChildProgram {
        if (this.runningProgram === undefined) {
            throw new Error(`${this.name} is not running.`);
        }
        return this.runningProgram;
    }

    /** Caller address reported at the last start; empty for control processes. */
    get callerAddress(): string {
        return this.lastCallerAddress;
    }

    /** Starts the process and waits until it is ready. */
    async start(): Promise<void> {
        this.runningProgram = await ChildProgram.start(this.program, ["--settings", this.settingsFile]);
        this.lastCallerAddress = this.runningProgram.startupMessage["callerAddress"] ?? "";
    }

    /** Kills the process immediately, which simulates the loss of its VM. */
    async kill(): Promise<void> {
        await this.runningProgram?.kill();
        this.runningProgram = undefined;
    }

    /** Deletes the data folder, which simulates the loss of the disk. The process must not be running. */
    async deleteDataFolder(): Promise<void> {
        await rm(this.dataFolder, { recursive: true, force: true });
    }

    /** Stops the process gracefully if it is running. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.runningProgram?.resume();
        await this.runningProgram?.[Symbol.asyncDispose]();
        this.lastExitCode = this.runningProgram?.exitCode ?? this.lastExitCode;
        this.runningProgram = undefined;
    }
}

/** A cluster of control and entry processes on loopback addresses, with stand-ins for external systems. */
export class Cluster implements AsyncDisposable {
    /** Token of the only operator of the cluster. */
    readonly operatorToken = generateKey();
    private readonly store = new DisposableStore();
    private folder = "";
    private addresses: readonly ControlAddressSettings[] = [];
    private controlProcesses: readonly ClusterProcess[] = [];
    private entryProcesses: readonly ClusterProcess[] = [];
    private readonly standIns: ChildProgram[] = [];

    /**
     * @param entryCount Number of entries; they are distributed round-robin over the failure domains.
     * @param controlSettings Additional settings of the control processes. They take precedence over those that the
     * cluster sets, except for the operators.
     */
    constructor(
        private readonly entryCount: number = failureDomains.length,
        private readonly controlSettings: object = {},
    ) {}

    /** The control processes. */
    get controls(): readonly ClusterProcess[] {
        return this.controlProcesses;
    }

    /** The entries. */
    get entries(): readonly ClusterProcess[] {
        return this.entryProcesses;
    }

    /** Caller addresses of the entries. */
    get entryAddresses(): readonly string[] {
        return this.entryProcesses.map(entry => entry.callerAddress);
    }

    /** Operator addresses of the control processes. */
    get operatorAddresses(): readonly string[] {
        return this.addresses.map(address => address.operatorAddress);
    }

    /** Exit codes of all processes after the cluster was stopped; undefined for those that a signal ended. */
    get exitCodes(): readonly (number | undefined)[] {
        return [...this.entryProcesses, ...this.controlProcesses, ...this.standIns].map(program => program.exitCode);
    }

    /** Addresses at which the control processes accept connections from entries. */
    get controlEntryAddresses(): readonly string[] {
        return this.addresses.map(address => address.entryAddress);
    }

    /** Starts one control process in each failure domain, and the entries. Resolves when all of them are ready. */
    async start(): Promise<void> {
        this.folder = await mkdtemp(join(tmpdir(), "gullhall-"));
        this.store.defer(() => rm(this.folder, { recursive: true, force: true }));
        this.addresses = await allocateControlAddresses();
        this.controlProcesses = await Promise.all([...failureDomains.keys()].map(index => this.prepareControl(index)));
        const entryIndexes = [...Array(this.entryCount).keys()];
        this.entryProcesses = await Promise.all(entryIndexes.map(index => this.prepareEntry(index)));
        this.controlProcesses.forEach(member => this.store.add(member));
        await Promise.all([...this.controlProcesses, ...this.entryProcesses].map(member => member.start()));
    }

    /** Starts a stand-in for an external system and returns its address. */
    async startStandIn(role: "engine" | "service" | "platform", name: string, options: object): Promise<string> {
        const flags = [role, "--name", name, "--options", JSON.stringify(options)];
        const program = this.store.add(await ChildProgram.start("gullhallStandIn", flags));
        this.standIns.push(program);
        return program.startupMessage["address"] ?? "";
    }

    /** Writes a JSON file to the temporary folder of the cluster and returns its path. */
    async writeFile(name: string, content: unknown): Promise<string> {
        const path = join(this.folder, name);
        await writeFile(path, JSON.stringify(content, undefined, 4));
        return path;
    }

    /** Runs a `gullhall` command against this cluster; resolves with its standard output, rejects if it fails. */
    runOperatorCommand(...commandArguments: readonly string[]): Promise<string> {
        return runGullhall([...commandArguments, "--control", ...this.operatorAddresses], this.operatorToken);
    }

    /** Gracefully stops the entries, then the control processes and the stand-ins, and deletes the temporary folder. */
    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(this.entryProcesses.map(entry => entry[Symbol.asyncDispose]()));
        await this.store.dispose();
    }

    private async prepareControl(index: number): Promise<ClusterProcess> {
        const name = this.addresses[index]?.name ?? "";
        const dataFolder = join(this.folder, name);
        const settings = await this.writeFile(`${name}.json`, {
            cluster: "quickstart",
            name,
            failureDomain: failureDomains[index],
            logStyle: "hidden",
            controls: this.addresses,
            peerSecurity: { kind: "plainOnLoopback" },
            dataFolder,
            ...this.controlSettings,
            operators: [{ name: "operator", tokenDigest: keyDigest(this.operatorToken) }],
        });
        return new ClusterProcess(name, "gullhallControl", settings, dataFolder);
    }

    private async prepareEntry(index: number): Promise<ClusterProcess> {
        const name = `entry-${index + 1}`;
        const settings = await this.writeFile(`${name}.json`, {
            cluster: "quickstart",
            name,
            failureDomain: failureDomains[index % failureDomains.length],
            logStyle: "hidden",
            callerAddress: "127.0.0.1:0",
            controlAddresses: this.addresses.map(address => address.entryAddress),
            discoverySeconds: discoveryLifetimeSeconds,
        });
        return new ClusterProcess(name, "gullhallEntry", settings, "");
    }
}

/** Name and addresses of a control process, in the form of the control settings. */
interface ControlAddressSettings {
    readonly name: string;
    readonly peerAddress: string;
    readonly operatorAddress: string;
    readonly entryAddress: string;
}

async function allocateControlAddresses(): Promise<readonly ControlAddressSettings[]> {
    const addresses = await allocateFreeAddresses(failureDomains.length * addressesPerControl);
    return failureDomains.map((failureDomain, index) => {
        const [peerAddress = "", operatorAddress = "", entryAddress = ""] = addresses.slice(
            index * addressesPerControl,
        );
        return { name: `control-${failureDomain}`, peerAddress, operatorAddress, entryAddress };
    });
}

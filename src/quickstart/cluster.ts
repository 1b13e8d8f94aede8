import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createKey } from "../util/createKey.js";
import { DisposableStore } from "../util/disposableStore.js";
import { keyDigest } from "../util/keyDigest.js";
import { runGullhall } from "./commandLine.js";
import { freeAddresses } from "./freeAddresses.js";
import { StartedProgram } from "./startedProgram.js";

/** Failure domains of the quickstart's cluster. */
const failureDomains = ["hobart-a", "hobart-b", "kingston-c"] as const;

/** Addresses of one control process: for peers, operators and entries. */
const addressesPerControl = 3;

/** How long callers may keep a discovery answer, in seconds; short, so that the stop is quick. */
const discoverySeconds = 1;

/** A program of a cluster that can be started again with the same settings. */
export class ClusterMember implements AsyncDisposable {
    private running: StartedProgram | undefined;
    private lastCallerAddress = "";
    private ended: number | undefined;

    constructor(
        readonly name: string,
        private readonly program: "gullhallControl" | "gullhallEntry",
        private readonly settingsFile: string,
        /** Folder of its durable state; entries have none. */
        readonly dataFolder: string,
    ) {}

    /** Exit code of its last graceful stop; undefined while it runs, and when a signal ended it. */
    get exitCode(): number | undefined {
        return this.ended;
    }

    /** The running program; throws while it does not run. */
    get started(): StartedProgram {
        if (this.running === undefined) {
            throw new Error(`${this.name} does not run.`);
        }
        return this.running;
    }

    /** Address for callers at its last start; empty for control processes. */
    get callerAddress(): string {
        return this.lastCallerAddress;
    }

    /** Starts the program and waits until it serves. */
    async start(): Promise<void> {
        this.running = await StartedProgram.start(this.program, ["--settings", this.settingsFile]);
        this.lastCallerAddress = this.running.shown["callerAddress"] ?? "";
    }

    /** Ends the program at once, as the loss of its VM would. */
    async kill(): Promise<void> {
        await this.running?.kill();
        this.running = undefined;
    }

    /** Deletes the durable state of a program that does not run. */
    async loseDisk(): Promise<void> {
        await rm(this.dataFolder, { recursive: true, force: true });
    }

    /** Stops the program gracefully, if it runs. */
    async [Symbol.asyncDispose](): Promise<void> {
        this.running?.resume();
        await this.running?.[Symbol.asyncDispose]();
        this.ended = this.running?.exitCode ?? this.ended;
        this.running = undefined;
    }
}

/** A cluster of real programs on loopback, with stand-ins for the outside systems. */
export class Cluster implements AsyncDisposable {
    /** Token of the cluster's operator. */
    readonly operatorToken = createKey();
    private readonly store = new DisposableStore();
    private folder = "";
    private addresses: readonly ControlAddressSettings[] = [];
    private controlMembers: readonly ClusterMember[] = [];
    private entryMembers: readonly ClusterMember[] = [];
    private readonly standIns: StartedProgram[] = [];

    /**
     * @param entryCount Number of entries, spread over the failure domains.
     * @param controlSettings Settings of the control processes beside those that every cluster needs.
     */
    constructor(
        private readonly entryCount: number = failureDomains.length,
        private readonly controlSettings: object = {},
    ) {}

    /** The control processes. */
    get controls(): readonly ClusterMember[] {
        return this.controlMembers;
    }

    /** The entries. */
    get entries(): readonly ClusterMember[] {
        return this.entryMembers;
    }

    /** Caller addresses of the entries. */
    get entryAddresses(): readonly string[] {
        return this.entryMembers.map(entry => entry.callerAddress);
    }

    /** Operator addresses of the control processes. */
    get operatorAddresses(): readonly string[] {
        return this.addresses.map(address => address.operatorAddress);
    }

    /** Exit codes of all programs after the cluster was stopped; undefined for those that a signal ended. */
    get exitCodes(): readonly (number | undefined)[] {
        return [...this.entryMembers, ...this.controlMembers, ...this.standIns].map(program => program.exitCode);
    }

    /** Addresses at which the control processes accept entries. */
    get controlEntryAddresses(): readonly string[] {
        return this.addresses.map(address => address.entryAddress);
    }

    /** Starts a control process in each failure domain, and the entries. */
    async start(): Promise<void> {
        this.folder = await mkdtemp(join(tmpdir(), "gullhall-"));
        this.store.defer(() => rm(this.folder, { recursive: true, force: true }));
        this.addresses = await takeControlAddresses();
        this.controlMembers = await Promise.all([...failureDomains.keys()].map(index => this.prepareControl(index)));
        const entryIndexes = [...Array(this.entryCount).keys()];
        this.entryMembers = await Promise.all(entryIndexes.map(index => this.prepareEntry(index)));
        this.controlMembers.forEach(member => this.store.add(member));
        await Promise.all([...this.controlMembers, ...this.entryMembers].map(member => member.start()));
    }

    /** Starts a stand-in; returns its address. */
    async startStandIn(role: "engine" | "service" | "platform", name: string, options: object): Promise<string> {
        const flags = [role, "--name", name, "--options", JSON.stringify(options)];
        const program = this.store.add(await StartedProgram.start("gullhallStandIn", flags));
        this.standIns.push(program);
        return program.shown["address"] ?? "";
    }

    /** Writes a file into the cluster's folder; returns its path. */
    async writeFile(name: string, content: unknown): Promise<string> {
        const path = join(this.folder, name);
        await writeFile(path, JSON.stringify(content, undefined, 4));
        return path;
    }

    /** Runs an operator's command against this cluster; resolves with its output, rejects when it fails. */
    operate(...commandArguments: readonly string[]): Promise<string> {
        return runGullhall([...commandArguments, "--control", ...this.operatorAddresses], this.operatorToken);
    }

    /** Stops the entries, then the rest, each gracefully. */
    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(this.entryMembers.map(entry => entry[Symbol.asyncDispose]()));
        await this.store.dispose();
    }

    private async prepareControl(index: number): Promise<ClusterMember> {
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
        return new ClusterMember(name, "gullhallControl", settings, dataFolder);
    }

    private async prepareEntry(index: number): Promise<ClusterMember> {
        const name = `entry-${index + 1}`;
        const settings = await this.writeFile(`${name}.json`, {
            cluster: "quickstart",
            name,
            failureDomain: failureDomains[index % failureDomains.length],
            logStyle: "hidden",
            callerAddress: "127.0.0.1:0",
            controlAddresses: this.addresses.map(address => address.entryAddress),
            discoverySeconds,
        });
        return new ClusterMember(name, "gullhallEntry", settings, "");
    }
}

/** Addresses of a control process, as its settings give them. */
interface ControlAddressSettings {
    readonly name: string;
    readonly peerAddress: string;
    readonly operatorAddress: string;
    readonly entryAddress: string;
}

async function takeControlAddresses(): Promise<readonly ControlAddressSettings[]> {
    const free = await freeAddresses(failureDomains.length * addressesPerControl);
    return failureDomains.map((failureDomain, index) => {
        const [peerAddress = "", operatorAddress = "", entryAddress = ""] = free.slice(index * addressesPerControl);
        return { name: `control-${failureDomain}`, peerAddress, operatorAddress, entryAddress };
    });
}

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

/** A cluster of real programs on loopback, with stand-ins for the outside systems. */
export class Cluster implements AsyncDisposable {
    /** Token of the cluster's operator. */
    readonly operatorToken = createKey();
    private readonly store = new DisposableStore();
    private folder = "";
    private controls: readonly StartedProgram[] = [];
    private readonly entryPrograms: StartedProgram[] = [];

    /** Caller addresses of the entries. */
    get entryAddresses(): readonly string[] {
        return this.entryPrograms.map(entry => entry.shown["callerAddress"] ?? "");
    }

    /** Operator addresses of the control processes. */
    get operatorAddresses(): readonly string[] {
        return this.controls.map(control => control.shown["operatorAddress"] ?? "");
    }

    /** Folder of the cluster's files. */
    get dataFolder(): string {
        return this.folder;
    }

    /** Starts control processes and one entry in each failure domain. */
    async start(): Promise<void> {
        this.folder = await mkdtemp(join(tmpdir(), "gullhall-"));
        this.store.defer(() => rm(this.folder, { recursive: true, force: true }));
        await this.startControls();
        await Promise.all(
            failureDomains.map((failureDomain, index) => this.startEntry(`entry-${index + 1}`, failureDomain)),
        );
    }

    /** Starts a stand-in; returns its address. */
    async startStandIn(role: "engine" | "service", name: string, options: object): Promise<string> {
        const flags = [role, "--name", name, "--options", JSON.stringify(options)];
        const program = this.store.add(await StartedProgram.start("gullhallStandIn", flags));
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
        await Promise.all(this.entryPrograms.map(entry => entry[Symbol.asyncDispose]()));
        await this.store.dispose();
    }

    private async startControls(): Promise<void> {
        const addresses = await freeAddresses(failureDomains.length * addressesPerControl);
        const controls = failureDomains.map((failureDomain, index) => ({
            failureDomain,
            name: `control-${index + 1}`,
            peerAddress: addresses[index * addressesPerControl] ?? "",
            operatorAddress: addresses[index * addressesPerControl + 1] ?? "",
            entryAddress: addresses[index * addressesPerControl + 2] ?? "",
        }));
        const listed = controls.map(({ name, peerAddress, operatorAddress, entryAddress }) => ({
            name,
            peerAddress,
            operatorAddress,
            entryAddress,
        }));
        this.controls = await Promise.all(
            controls.map(({ name, failureDomain }) => this.startControl(name, failureDomain, listed)),
        );
    }

    private async startControl(name: string, failureDomain: string, controls: object): Promise<StartedProgram> {
        const settings = await this.writeFile(`${name}.json`, {
            cluster: "quickstart",
            name,
            failureDomain,
            logStyle: "hidden",
            controls,
            peerSecurity: { kind: "plainOnLoopback" },
            dataFolder: join(this.folder, name),
            operators: [{ name: "operator", tokenDigest: keyDigest(this.operatorToken) }],
        });
        return this.store.add(await StartedProgram.start("gullhallControl", ["--settings", settings]));
    }

    private async startEntry(name: string, failureDomain: string): Promise<void> {
        const settings = await this.writeFile(`${name}.json`, {
            cluster: "quickstart",
            name,
            failureDomain,
            logStyle: "hidden",
            callerAddress: "127.0.0.1:0",
            controlAddresses: this.controls.map(control => control.shown["entryAddress"]),
            discoverySeconds,
        });
        this.entryPrograms.push(await StartedProgram.start("gullhallEntry", ["--settings", settings]));
    }
}

import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { OpenConnection } from "../../../src/connection/hosted/endpointAgent.js";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { HttpCallResponse } from "../../../src/connection/httpCall.js";
import { defaultConnectionLimits } from "../../../src/connection/server/connectionLimits.js";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import { HostedControlProcess } from "../../../src/process/hosted/control/hostedControlProcess.js";
import { HostedEntryProcess } from "../../../src/process/hosted/entry/hostedEntryProcess.js";
import type { HostedSettings } from "../../../src/process/hosted/hostedSettings.js";
import { allocateFreeAddresses } from "../../../src/quickstart/freeAddresses.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen, splitAddress } from "../../../src/util/socketAddress.js";

const clock = new SystemClock();

/** A control process and the folder that serves as its disk. */
interface StartedControl {
    readonly process: HostedControlProcess;
    readonly folder: string;
}

/** Calls that are held back. */
export interface HeldCalls {
    readonly service: string;
    readonly feature: string;
}

/** A call as received by the simulated endpoint. */
export interface ReceivedCall {
    readonly path: string;
    readonly headers: IncomingMessage["headers"];
    readonly body: string;
}

/**
 * Control processes, an entry, a simulated platform and a simulated endpoint, all within the test process.
 *
 * Each simulated VM has its own loopback address.
 */
export class HostedInstallation implements AsyncDisposable {
    /** Time within which a process that started after the last change of this value must stop, in milliseconds. */
    shutdownTime = 1_000;
    /** Retries that all entries may make in a window besides a fraction of the calls; for processes that start later. */
    retryReserve = 20;
    /** Calls that the endpoint has run, in order of arrival. */
    readonly receivedCalls: ReceivedCall[] = [];
    private readonly store = new DisposableStore();
    private readonly controls = new Map<number, StartedControl>();
    private readonly entries = new Map<number, HostedEntryProcess>();
    private platformAddress = "";
    private endpointAddress = "";
    readonly firstInternalPort: number;
    private readonly operatorPort: number;
    /** Address at which the entry accepts calls. */
    readonly callerAddress: string;

    private constructor(
        private readonly network: number,
        ports: readonly number[],
        private readonly endpointsPerService: number,
        private readonly furtherListRows: () => readonly object[],
    ) {
        const [first = 0, operator = 0, caller = 0] = ports;
        this.firstInternalPort = first;
        this.operatorPort = operator;
        this.callerAddress = `127.0.${network}.100:${caller}`;
    }

    /**
     * Starts the simulated platform and endpoint, three control processes that are the seeds, and an entry.
     *
     * @param network Third octet of the loopback addresses, unique among tests that run concurrently.
     * @param respond Responds to a call at the endpoint.
     * @param endpointsPerService Number of endpoints that the platform lists for each service, all at one address.
     * @param furtherListRows Further rows of the platform's list of endpoints.
     */
    static async start(
        network: number,
        respond: (call: ReceivedCall, response: ServerResponse) => void,
        endpointsPerService = 1,
        furtherListRows: () => readonly object[] = () => [],
    ): Promise<HostedInstallation> {
        const addresses = await allocateFreeAddresses(3);
        const ports = addresses.map(address => splitAddress(address).port);
        const installation = new HostedInstallation(network, ports, endpointsPerService, furtherListRows);
        await installation.startSimulators(respond);
        await Promise.all([1, 2, 3].map(index => installation.startControl(index, true)));
        await installation.startEntry();
        return installation;
    }

    /** Starts the control process of a VM; its disk is empty unless it ran before. */
    async startControl(index: number, isFirstStart = false): Promise<void> {
        const folder = this.controls.get(index)?.folder ?? await mkdtemp(join(tmpdir(), "gullhall-hosted-"));
        const settings = this.settingsOf(index, isFirstStart, folder);
        const control = new HostedControlProcess(
            () => settings,
            clock,
            new EventLog(settings.name, "hidden"),
        );
        this.controls.set(index, { process: control, folder });
        await control.start();
    }

    /** Stops a control process; its disk is kept. */
    async stopControl(index: number): Promise<void> {
        await this.controls.get(index)?.process[Symbol.asyncDispose]();
    }

    /** Index of the control process that leads. */
    async findLeader(): Promise<number> {
        for (;;) {
            for (const index of this.controls.keys()) {
                const result = await httpCall({
                    address: this.operatorAddress(index),
                    method: "DELETE",
                    path: "/v1/held-calls",
                    body: JSON.stringify({ service: "none", feature: "none" }),
                    timeout: 2_000,
                });
                if (result.ok && result.val.status !== 307 && result.val.status !== 503) {
                    return index;
                }
            }
            await clock.sleep(50);
        }
    }

    /** Erases the disk of a stopped control process. */
    async wipeControl(index: number): Promise<void> {
        await rm(this.controls.get(index)?.folder ?? "", { recursive: true, force: true });
    }

    /** Submits a configuration to a control process and follows redirects; returns the status, or 0 without one. */
    async submit(index: number, document: object): Promise<number> {
        let address = this.operatorAddress(index);
        for (let hops = 0; hops < 3; hops++) {
            const result = await httpCall({
                address,
                method: "POST",
                path: "/v1/configuration/replace",
                body: JSON.stringify(document),
                timeout: 2_000,
            });
            const { status = 0, headers = {} } = result.ok ? result.val : {};
            if (status !== 307) {
                return status;
            }
            address = new URL(headers.location ?? "").host;
        }
        return 0;
    }

    /**
     * Submits a configuration to a control process as operators do: again while the process cannot tell whether it will
     * be accepted (503).
     *
     * @returns All statuses that the process returned; the last one is the answer.
     */
    async submitUntilAnswered(index: number, document: object): Promise<readonly number[]> {
        const statuses = [await this.submit(index, document)];
        while (statuses.at(-1) === 503) {
            await clock.sleep(50);
            statuses.push(await this.submit(index, document));
        }
        return statuses;
    }

    /** Submits a configuration to the control processes in turn until one acknowledges it. */
    async submitUntilAccepted(document: object): Promise<void> {
        for (let attempt = 0; await this.submit(1 + attempt % 3, document) !== 200; attempt++) {
            await clock.sleep(50);
        }
    }

    /** Version of the configuration that a control process returns; undefined if it returns none. */
    async fetchVersion(index: number): Promise<number | undefined> {
        const result = await httpCall({
            address: this.operatorAddress(index),
            method: "GET",
            path: "/v1/configuration/fetch",
            timeout: 2_000,
        });
        return result.ok && result.val.status === 200
            ? (JSON.parse(result.val.body.toString("utf8")) as { readonly version: number; }).version
            : undefined;
    }

    /** The calls that are held back, as a control process lists them. */
    async heldCalls(index: number): Promise<readonly HeldCalls[]> {
        const result = await httpCall({
            address: this.operatorAddress(index),
            method: "GET",
            path: "/v1/held-calls",
            timeout: 2_000,
        });
        return (JSON.parse(result.unwrap().body.toString("utf8")) as { readonly held: readonly HeldCalls[]; }).held;
    }

    /** Releases calls at a control process and follows a redirect; returns the status. */
    async releaseCalls(index: number, { service, feature }: HeldCalls): Promise<number> {
        let address = this.operatorAddress(index);
        for (;;) {
            const result = await httpCall({
                address,
                method: "DELETE",
                path: "/v1/held-calls",
                body: JSON.stringify({ service, feature }),
                timeout: 2_000,
            });
            const { status, headers } = result.unwrap();
            if (status !== 307) {
                return status;
            }
            address = new URL(headers.location ?? "").host;
        }
    }

    /** Sends a call to the entry. */
    async call(
        path: string,
        headers: Readonly<Record<string, string>> = {},
        body = "",
        address = this.callerAddress,
    ): Promise<HttpCallResponse> {
        const result = await httpCall({
            address,
            method: "POST",
            path,
            headers: { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": "call-1", ...headers },
            body,
            timeout: 5_000,
        });
        return result.unwrap();
    }

    /** Repeats a call until it gets the given status. */
    async callUntil(status: number, path: string, headers: Readonly<Record<string, string>> = {}): Promise<void> {
        while ((await this.call(path, headers)).status !== status) {
            await clock.sleep(50);
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all([...this.entries.keys()].map(index => this.stopEntry(index)));
        await this.store.dispose();
        for (const { process, folder } of this.controls.values()) {
            await process[Symbol.asyncDispose]();
            await rm(folder, { recursive: true, force: true });
        }
    }

    private async startSimulators(respond: (call: ReceivedCall, response: ServerResponse) => void): Promise<void> {
        this.endpointAddress = await this.serve(createServer((request, response) => {
            const chunks: Buffer[] = [];
            request.on("data", (chunk: Buffer) => chunks.push(chunk));
            request.on("end", () => {
                const body = Buffer.concat(chunks).toString("utf8");
                const call = { path: request.url ?? "", headers: request.headers, body };
                this.receivedCalls.push(call);
                respond(call, response);
            });
        }));
        this.platformAddress = await this.serve(createServer((request, response) => {
            request.resume();
            const listed = ["desk", "engines"].flatMap(service => this.listRowsOf(service));
            const instances = [...listed, ...this.furtherListRows()];
            response.end(JSON.stringify({ instances }));
        }));
    }

    private listRowsOf(service: string): readonly object[] {
        const address = this.endpointAddress;
        return Array.from(Array(this.endpointsPerService).keys(), index => {
            return { identifier: `i-${service}-${index}`, service, address, zone: "north", slots: 4, state: "ready" };
        });
    }

    private async serve(server: Server): Promise<string> {
        this.store.defer(() => {
            server.close();
            server.closeAllConnections();
        });
        return listen(server, "127.0.0.1:0");
    }

    /**
     * Starts a second entry whose seeds are unreachable, then applies settings with correct seeds; returns a call
     * function.
     */
    async startEntryWithUnreachableSeeds(): Promise<(path: string) => Promise<HttpCallResponse>> {
        const { port } = splitAddress(this.callerAddress);
        const callerAddress = `127.0.${this.network}.101:${port}`;
        const reachableSeedSettings = { ...this.settingsOf(101, true, undefined), callerAddress };
        let settings: HostedSettings = {
            ...reachableSeedSettings,
            seedOperatorAddresses: [`127.0.${this.network}.250:${this.operatorPort}`],
        };
        const entry = new HostedEntryProcess(() => settings, clock, new EventLog(settings.name, "hidden"));
        this.store.add(entry);
        await entry.start();
        settings = reachableSeedSettings;
        entry.applySettings();
        return path => this.call(path, {}, "", callerAddress);
    }

    /** Starts a further entry; returns the address at which it accepts calls. */
    async startFurtherEntry(index: number, openConnection?: OpenConnection): Promise<string> {
        const { port } = splitAddress(this.callerAddress);
        const callerAddress = `127.0.${this.network}.${index}:${port}`;
        await this.startEntry(index, callerAddress, openConnection);
        return callerAddress;
    }

    /** Stops an entry; connections of callers that remain are closed. */
    async stopEntry(index: number): Promise<void> {
        const entry = this.entries.get(index);
        this.entries.delete(index);
        await entry?.[Symbol.asyncDispose]();
    }

    /** Number of bytes that an entry keeps for callers because these do not read. */
    unsentBytes(index: number): number {
        const calls = Reflect.get(this.entries.get(index) ?? {}, "runningCalls") as
            | ReadonlyMap<ServerResponse, unknown>
            | undefined;
        return [...calls?.keys() ?? []].reduce((sum, { socket }) => sum + (socket?.writableLength ?? 0), 0);
    }

    /** Ends an entry as a kill does: nobody is told, and its connections are reset. */
    async killEntry(index: number): Promise<void> {
        const entry = this.entries.get(index);
        this.entries.delete(index);
        if (entry === undefined) {
            return;
        }
        const partOf = <T>(name: string): T => Reflect.get(entry, name) as T;
        partOf<AbortController>("shutdownController").abort();
        partOf<ReadonlySet<Socket>>("sockets").forEach(socket => {
            socket.resetAndDestroy();
        });
        const closed = once(partOf<Server>("server").close(), "close");
        await partOf<DisposableStore>("disposables").dispose();
        await closed;
    }

    /** Starts an entry at the addresses of one that was killed. */
    async restartEntry(index: number): Promise<void> {
        const { port } = splitAddress(this.callerAddress);
        await this.startEntry(index, `127.0.${this.network}.${index}:${port}`);
    }

    private async startEntry(
        index = 100,
        callerAddress = this.callerAddress,
        openConnection?: OpenConnection,
    ): Promise<void> {
        const settings = { ...this.settingsOf(index, true, undefined), callerAddress };
        const entry = new HostedEntryProcess(
            () => settings,
            clock,
            new EventLog(settings.name, "hidden"),
            openConnection,
        );
        this.entries.set(index, entry);
        await entry.start();
    }

    /** Address at which a control process accepts requests of operators. */
    operatorAddress(index: number): string {
        return `127.0.${this.network}.${index}:${this.operatorPort}`;
    }

    private settingsOf(index: number, isFirstStart: boolean, dataFolder: string | undefined): HostedSettings {
        return {
            name: `vm-${index}`,
            host: `127.0.${this.network}.${index}`,
            failureDomain: "north",
            toleratedLosses: { vms: 1, fraction: 0 },
            callerAddress: undefined,
            readinessAddress: undefined,
            operatorAddress: dataFolder === undefined ? undefined : this.operatorAddress(index),
            resolutionAddress: undefined,
            firstInternalPort: this.firstInternalPort,
            seedOperatorAddresses: [1, 2, 3].map(seed => this.operatorAddress(seed)),
            isFirstStart,
            dataFolder,
            bounds: {
                keyWithdrawal: 5_000,
                shutdown: this.shutdownTime,
                dutyHandoverDelay: 3_000,
                usageWindow: 5_000,
                retryWindow: 10_000,
                retryFraction: 0.2,
                retryReserve: this.retryReserve,
                resolutionTimeToLive: 5_000,
            },
            connectionLimits: defaultConnectionLimits,
            platform: {
                address: this.platformAddress,
                listCallsPerSecond: 40,
                reportsUsage: false,
                ordersEndpoints: false,
            },
        };
    }
}

import { mkdtemp, rm } from "node:fs/promises";
import { createServer } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { defaultConnectionLimits } from "../../connection/server/connectionLimits.js";
import { EventLog } from "../../logEvent/eventLog.js";
import type { LogEventId } from "../../logEvent/logEvent.js";
import { HostedControlProcess } from "../../process/hosted/control/hostedControlProcess.js";
import { HostedEntryProcess } from "../../process/hosted/entry/hostedEntryProcess.js";
import type { HostedSettings } from "../../process/hosted/hostedSettings.js";
import { allocateFreeAddresses } from "../../quickstart/freeAddresses.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { DisposableStore } from "../../util/disposableStore.js";
import { listen, splitAddress } from "../../util/socketAddress.js";

const entryCounts = [30, 100, 200];
const controlCount = 9;

/** Rows of the list, so that it has two pages. */
const endpointCount = 66;
const pageSize = 50;

/** Number of endpoints that leave one after the other while the leader stays. */
const quietChanges = 10;

/** Number of endpoints that leave as the leader stops; the group bears as many losses. */
const leaderChanges = 3;

/** Time for which the installation settles after a change, in milliseconds. */
const settlingTime: Milliseconds = 3_000;

const checkInterval: Milliseconds = 50;

/** Calls an observer with the id of each event, and writes no lines. */
class ObservedEventLog extends EventLog {
    constructor(name: string, private readonly observe: (id: LogEventId) => void) {
        super(name, "hidden");
    }

    override write(id: LogEventId): void {
        this.observe(id);
    }
}

/** Times from the platform's list to the last entry that knows that an endpoint leaves, in milliseconds. */
export interface ListDistribution {
    readonly entries: number;
    /** While the leader stays: median and maximum of several changes. */
    readonly quietMedian: Milliseconds;
    readonly quietMaximum: Milliseconds;
    /** While the leader stops: maximum of several changes. */
    readonly leaderChangeMaximum: Milliseconds;
}

/** A hosted installation without callers, all in this process, and a platform whose endpoints leave one by one. */
class ListedInstallation implements AsyncDisposable {
    private readonly store = new DisposableStore();
    private readonly controls: HostedControlProcess[] = [];
    private readonly entryProcesses: HostedEntryProcess[] = [];
    /** Index of the control process that obtained the newest lease. */
    private leader = 0;
    private leavingCount = 0;
    private informedCount = 0;

    constructor(private readonly entries: number, private readonly port: number, private readonly clock: Clock) {}

    async start(): Promise<void> {
        const platform = createServer((request, response) => {
            const token = new URL(request.url ?? "", "http://platform").searchParams.get("page-token");
            const first = Number(token ?? "0");
            const next = first + pageSize < endpointCount ? { next: String(first + pageSize) } : {};
            response.end(JSON.stringify({ instances: this.rows().slice(first, first + pageSize), ...next }));
        });
        this.store.defer(() => {
            platform.close();
            platform.closeAllConnections();
        });
        const address = await listen(platform, "127.0.0.1:0");
        await Promise.all(Array.from(Array(controlCount).keys(), index => this.startControl(index, address)));
        for (let index = 0; index < this.entries; index++) {
            await this.startEntry(index, address);
        }
        await this.clock.sleep(settlingTime);
    }

    /** Lets an endpoint leave; resolves with the time until the last entry knows it. */
    async measureChange(): Promise<Milliseconds> {
        const changedAt = this.clock.now();
        this.informedCount = 0;
        this.leavingCount++;
        let informedAt = changedAt;
        while (this.informedCount < this.entries) {
            await this.clock.sleep(checkInterval / 10);
            informedAt = this.clock.now();
        }
        await this.clock.sleep(settlingTime / 10);
        return informedAt - changedAt;
    }

    /** Ends the control process that leads. */
    stopLeader(): void {
        void this.controls[this.leader]?.[Symbol.asyncDispose]();
    }

    async settle(): Promise<void> {
        await this.clock.sleep(settlingTime);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await Promise.all(this.entryProcesses.map(entry => entry[Symbol.asyncDispose]()));
        await this.store.dispose();
    }

    private rows(): readonly object[] {
        return Array.from(Array(endpointCount).keys(), index => ({
            identifier: `i-${index}`,
            service: "engines",
            address: `127.0.0.1:${20_000 + index}`,
            zone: "north",
            slots: 24,
            state: index < this.leavingCount ? "draining" : "ready",
        }));
    }

    private async startControl(index: number, platform: string): Promise<void> {
        const dataFolder = await mkdtemp(join(tmpdir(), "gullhall-list-"));
        const settings = this.settingsOf(`127.0.200.${index + 1}`, platform, dataFolder);
        const eventLog = new ObservedEventLog(settings.name, id => {
            this.leader = id === "leaseObtained" ? index : this.leader;
        });
        const control = new HostedControlProcess(() => settings, this.clock, eventLog);
        this.controls[index] = control;
        this.store.defer(async () => {
            await control[Symbol.asyncDispose]();
            await rm(dataFolder, { recursive: true, force: true });
        });
        await control.start();
    }

    private async startEntry(index: number, platform: string): Promise<void> {
        const host = `127.0.${201 + Math.floor(index / 200)}.${1 + index % 200}`;
        const settings = this.settingsOf(host, platform, undefined);
        const eventLog = new ObservedEventLog(host, id => {
            this.informedCount += id === "endpointLeavingListed" ? 1 : 0;
        });
        const entry = new HostedEntryProcess(() => settings, this.clock, eventLog);
        this.entryProcesses.push(entry);
        await entry.start();
    }

    private settingsOf(host: string, platform: string, dataFolder: string | undefined): HostedSettings {
        const operatorPort = this.port + 3;
        return {
            name: host,
            host,
            failureDomain: "north",
            toleratedLosses: { vms: 2, fraction: 0 },
            callerAddress: dataFolder === undefined ? `${host}:${operatorPort}` : undefined,
            readinessAddress: undefined,
            operatorAddress: dataFolder === undefined ? undefined : `${host}:${operatorPort}`,
            resolutionAddress: undefined,
            firstInternalPort: this.port,
            seedOperatorAddresses: [1, 2, 3].map(seed => `127.0.200.${seed}:${operatorPort}`),
            isFirstStart: true,
            dataFolder,
            bounds: {
                keyWithdrawal: 5_000,
                shutdown: 100,
                dutyHandoverDelay: 3_000,
                usageWindow: 5_000,
                retryWindow: 10_000,
                retryFraction: 0.2,
                retryReserve: 20,
                resolutionTimeToLive: 5_000,
            },
            connectionLimits: defaultConnectionLimits,
            platform: { address: platform, listCallsPerSecond: 42, reportsUsage: false, ordersEndpoints: false },
        };
    }
}

/** Measures how long all entries of a hosted installation take to learn that an endpoint leaves. */
export async function measureHostedListSlopes(clock: Clock): Promise<readonly ListDistribution[]> {
    const distributions: ListDistribution[] = [];
    for (const entries of entryCounts) {
        const [address = ""] = await allocateFreeAddresses(1);
        await using installation = new ListedInstallation(entries, splitAddress(address).port, clock);
        await installation.start();
        const quiet: Milliseconds[] = [];
        for (let change = 0; change < quietChanges; change++) {
            quiet.push(await installation.measureChange());
        }
        const whileLeaderChanges: Milliseconds[] = [];
        for (let change = 0; change < leaderChanges; change++) {
            installation.stopLeader();
            whileLeaderChanges.push(await installation.measureChange());
            await installation.settle();
        }
        quiet.sort((a, b) => a - b);
        distributions.push({
            entries,
            quietMedian: quiet[quietChanges / 2] ?? 0,
            quietMaximum: Math.max(...quiet),
            leaderChangeMaximum: Math.max(...whileLeaderChanges),
        });
    }
    return distributions;
}

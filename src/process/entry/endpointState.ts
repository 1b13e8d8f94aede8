import type { Milliseconds } from "../../util/clock.js";
import type { ManifestEndpoint } from "../../version/manifest.js";
import { EndpointHealth } from "./endpointHealth.js";
import type { HealthFault } from "./endpointHealth.js";
import { EndpointLatency } from "./endpointLatency.js";
import { estimateMeasuredAt } from "./loadReport.js";
import type { LoadReport } from "./loadReport.js";
import { RunningRequestHistory } from "./runningRequestHistory.js";

/** Time after its arrival at which a load report is discarded, in milliseconds. */
const loadReportLifetime: Milliseconds = 10_000;

/** How long an endpoint that refused a request for lack of capacity receives no requests, in milliseconds. */
const busyBackOff: Milliseconds = 100;

/** How long an endpoint counts as lacking a model, version or adapter after it rejected a request, in milliseconds. */
const unsupportedLifetime: Milliseconds = 5_000;

/**
 * Time after an endpoint was marked as leaving during which load reports cannot clear the mark, in milliseconds.
 *
 * Reports measured in this time may not reflect yet that the endpoint leaves.
 */
const leavingClearDelay: Milliseconds = 5_000;

/** What a request requires of an endpoint besides its pool; an undefined property stands for no requirement. */
export interface EndpointRequirement {
    readonly model: string | undefined;
    readonly version: string | undefined;
    readonly adapter: string | undefined;
}

/** Called after each change of an endpoint that may affect routing. */
export type EndpointListener = (endpoint: EndpointState, now: Milliseconds) => void;

/** State of one endpoint as known to this entry. */
export class EndpointState {
    /** Decides whether the endpoint receives requests. */
    readonly health = new EndpointHealth();
    /** Measured latencies, by which stragglers are found. */
    readonly latency = new EndpointLatency();
    /** Number of requests that this entry could start at the endpoint now; updated after each change. */
    freeSlots = 0;
    private ownRunning = 0;
    /** Estimated number of requests of other entries that are running or waiting at the endpoint. */
    private otherEntriesRunning = 0;
    private currentReport: LoadReport | undefined;
    private reportReceivedAt: Milliseconds = -Infinity;
    private leavingSince: Milliseconds | undefined;
    private busyUntil: Milliseconds = -Infinity;
    private sharingEntries = 1;
    private readonly runningHistory = new RunningRequestHistory();
    private readonly unsupportedUntil = new Map<string, Milliseconds>();

    /**
     * @param description Name, address and failure domain.
     * @param pool Name of the pool.
     * @param capacity Maximum number of concurrent requests of this entry.
     * @param listener Called after each change.
     */
    constructor(
        readonly description: ManifestEndpoint,
        readonly pool: string,
        readonly capacity: number,
        private readonly listener: EndpointListener = () => undefined,
    ) {
        this.freeSlots = capacity;
    }

    get name(): string {
        return this.description.name;
    }

    /** Number of this entry's requests that the endpoint is running. */
    get running(): number {
        return this.ownRunning;
    }

    /** Estimated number of requests of all entries that are running or waiting at the endpoint. */
    get estimatedRunning(): number {
        return this.ownRunning + this.otherEntriesRunning;
    }

    /** Maximum number of requests that the endpoint runs concurrently; this entry's limit if it has not reported one. */
    get maximumRunning(): number {
        return this.currentReport?.maximumRunningRequests ?? this.capacity;
    }

    /** Estimated fraction of slots that are occupied; above 1 if requests wait at the endpoint. */
    get load(): number {
        return this.estimatedRunning / this.maximumRunning;
    }

    /** Whether the endpoint is about to stop, according to itself or to the platform. */
    get leaving(): boolean {
        return this.leavingSince !== undefined;
    }

    /** The latest load report, unless none has arrived or it has expired. */
    get lastReport(): LoadReport | undefined {
        return this.currentReport;
    }

    /** Records that a request was dispatched to the endpoint. */
    start(now: Milliseconds): void {
        this.changeOwnRunning(1, now);
    }

    /** Records that a request at the endpoint has ended. */
    finish(now: Milliseconds): void {
        this.changeOwnRunning(-1, now);
    }

    /** Marks the endpoint as about to stop; it receives no further requests. */
    markLeaving(now: Milliseconds): void {
        this.leavingSince = now;
        this.update(now);
    }

    /**
     * Applies a load report.
     *
     * The requests that this entry was running when the report was measured are subtracted, so that the remainder
     * estimates the load from other entries.
     *
     * @param unixNow Wall-clock time, in Unix milliseconds.
     */
    applyReport(report: LoadReport, now: Milliseconds, unixNow: number): void {
        const measuredAt = estimateMeasuredAt(report, now, unixNow);
        this.currentReport = report;
        this.reportReceivedAt = now;
        this.otherEntriesRunning = Math.max(
            0,
            report.runningRequests + report.waitingRequests - this.runningHistory.countAt(measuredAt),
        );
        if (report.leaving) {
            this.leavingSince ??= now;
        }
        else if (this.leavingSince !== undefined && measuredAt > this.leavingSince + leavingClearDelay) {
            this.leavingSince = undefined;
        }
        this.update(now);
    }

    /** Records that the endpoint refused a request for lack of capacity. */
    recordBusy(now: Milliseconds): void {
        this.busyUntil = now + busyBackOff;
        this.update(now);
    }

    /** Records that the endpoint rejected a request because it lacks what the request requires. */
    recordUnsupported(requirement: EndpointRequirement, now: Milliseconds): void {
        this.unsupportedUntil.set(requirementKey(requirement), now + unsupportedLifetime);
        this.update(now);
    }

    /** Records a fault; returns whether the endpoint was set aside because of it. */
    recordFault(fault: HealthFault, now: Milliseconds, jitter: number): boolean {
        const changed = this.health.recordFault(fault, now, jitter);
        this.update(now);
        return changed;
    }

    /** Records the result of a probe; after a successful one, the endpoint is on trial. */
    recordProbe(succeeded: boolean, now: Milliseconds, jitter: number): void {
        this.health.recordProbe(succeeded, now, jitter);
        if (succeeded) {
            this.latency.reset();
        }
        this.update(now);
    }

    /** Records a complete response. */
    recordSuccess(now: Milliseconds): void {
        if (this.health.recordSuccess()) {
            this.update(now);
        }
    }

    /** Records that the latency of the endpoint was found to be normal. */
    recordNormalLatency(now: Milliseconds): void {
        this.health.recordNormalLatency();
        this.update(now);
    }

    /** Sets the number of entries that send requests to the endpoint. */
    setSharingEntries(entries: number, now: Milliseconds): void {
        if (entries !== this.sharingEntries) {
            this.sharingEntries = Math.max(1, entries);
            this.update(now);
        }
    }

    /** Discards expired information and updates the free slots accordingly. */
    refresh(now: Milliseconds): void {
        const busyExpired = this.busyUntil !== -Infinity && now >= this.busyUntil;
        const reportExpired = this.currentReport !== undefined && now - this.reportReceivedAt > loadReportLifetime;
        if (busyExpired) {
            this.busyUntil = -Infinity;
        }
        if (reportExpired) {
            this.currentReport = undefined;
            this.otherEntriesRunning = 0;
        }
        const unsupportedExpired = this.removeExpiredUnsupported(now);
        if (busyExpired || reportExpired || unsupportedExpired) {
            this.update(now);
        }
    }

    /** Whether the endpoint satisfies a requirement; unknown properties count as satisfied. */
    satisfies(requirement: EndpointRequirement): boolean {
        const { model, version, adapter } = requirement;
        if (this.unsupportedUntil.size > 0 && this.unsupportedUntil.has(requirementKey(requirement))) {
            return false;
        }
        const report = this.currentReport;
        if (report?.model === undefined || report.model !== model) {
            return true;
        }
        const versionMatches = version === undefined || report.version === undefined || report.version === version;
        const adapterMatches = adapter === undefined || report.adapters === undefined
            || report.adapters.includes(adapter);
        return versionMatches && adapterMatches;
    }

    private changeOwnRunning(delta: number, now: Milliseconds): void {
        this.ownRunning += delta;
        this.runningHistory.record(this.ownRunning, now);
        this.update(now);
    }

    private removeExpiredUnsupported(now: Milliseconds): boolean {
        let anyRemoved = false;
        for (const [key, until] of this.unsupportedUntil) {
            if (now >= until) {
                this.unsupportedUntil.delete(key);
                anyRemoved = true;
            }
        }
        return anyRemoved;
    }

    private update(now: Milliseconds): void {
        this.freeSlots = this.acceptsRequests(now) ? Math.max(0, this.calculateFreeSlots()) : 0;
        this.listener(this, now);
    }

    private acceptsRequests(now: Milliseconds): boolean {
        return !this.leaving && !this.health.isSetAside && now >= this.busyUntil;
    }

    /** Free slots for this entry: the rest of its equal share, or an equal share of the unused slots if larger. */
    private calculateFreeSlots(): number {
        if (this.health.state.kind === "trial") {
            return 1 - this.ownRunning;
        }
        const ownLimit = this.capacity - this.ownRunning;
        if (this.currentReport === undefined) {
            return ownLimit;
        }
        const ownShare = Math.floor(this.maximumRunning / this.sharingEntries) - this.ownRunning;
        const unused = this.maximumRunning - this.estimatedRunning;
        const spareShare = unused > 0 ? Math.max(1, Math.floor(unused / this.sharingEntries)) : 0;
        return Math.min(ownLimit, Math.max(ownShare, spareShare));
    }
}

/** Returns a map key for a requirement; equal requirements have the same key, and different ones different keys. */
export function requirementKey({ model, version, adapter }: EndpointRequirement): string {
    return `${model ?? ""}\n${version ?? ""}\n${adapter ?? ""}`;
}

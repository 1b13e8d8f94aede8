import type { Milliseconds } from "../../util/clock.js";
import type { ManifestEndpoint } from "../../version/manifest.js";
import { EndpointHealth } from "./endpointHealth.js";
import type { HealthFault } from "./endpointHealth.js";
import { EndpointPace } from "./endpointPace.js";
import { measuredAt } from "./loadReport.js";
import type { LoadReport } from "./loadReport.js";
import { OwnLoadHistory } from "./ownLoadHistory.js";

/** Age beyond which a load report no longer counts, in milliseconds. */
const reportLifetime: Milliseconds = 10_000;

/** How long an endpoint that refused a request for want of room gets nothing, in milliseconds. */
const refusalPause: Milliseconds = 100;

/** How long an endpoint's word that it lacks a model, version or adapter counts, in milliseconds. */
const lackLifetime: Milliseconds = 5_000;

/** How long a report that says nothing of leaving may contradict an earlier word that it leaves, in milliseconds. */
const leavingWordLag: Milliseconds = 5_000;

/** What a request needs of an endpoint beside its pool; undefined members ask for nothing. */
export interface EndpointRequirement {
    readonly model: string | undefined;
    readonly version: string | undefined;
    readonly adapter: string | undefined;
}

/** Told of each change of an endpoint that may matter to where requests go. */
export type EndpointListener = (endpoint: EndpointState, now: Milliseconds) => void;

/** One endpoint as this entry sees it. */
export class EndpointState {
    /** Whether it gets work. */
    readonly health = new EndpointHealth();
    /** How fast it works. */
    readonly pace = new EndpointPace();
    /** Requests that could be started now; brought up to date at each change. */
    freeSlots = 0;
    private ownRunning = 0;
    private others = 0;
    private report: LoadReport | undefined;
    private reportReceivedAt: Milliseconds = -Infinity;
    private leavingSince: Milliseconds | undefined;
    private busyUntil: Milliseconds = -Infinity;
    private sharers = 1;
    private readonly history = new OwnLoadHistory();
    private readonly lacks = new Map<string, Milliseconds>();

    /**
     * @param description Its name, address and failure domain.
     * @param pool Name of its pool.
     * @param capacity Requests that this entry may run at it at once.
     * @param listener Told of each change.
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

    /** Requests of this entry that it runs now. */
    get running(): number {
        return this.ownRunning;
    }

    /** Estimated requests of all entries that run or wait at it now. */
    get estimatedRunning(): number {
        return this.ownRunning + this.others;
    }

    /** Requests that it runs at once at most, as far as known. */
    get maximumRunning(): number {
        return this.report?.maximumRunningRequests ?? this.capacity;
    }

    /** Estimated share of its slots that are taken; above 1 when requests wait at it. */
    get load(): number {
        return this.estimatedRunning / this.maximumRunning;
    }

    /** Whether it has said, or the platform has said, that it leaves. */
    get leaving(): boolean {
        return this.leavingSince !== undefined;
    }

    /** The newest load report, if any has come. */
    get lastReport(): LoadReport | undefined {
        return this.report;
    }

    /** Records that a request was dispatched to it. */
    start(now: Milliseconds): void {
        this.changeRunning(1, now);
    }

    /** Records that a request has ended at it. */
    finish(now: Milliseconds): void {
        this.changeRunning(-1, now);
    }

    /** Records that it leaves, from whomever this was heard: it gets nothing more. */
    noteLeaving(now: Milliseconds): void {
        this.leavingSince = now;
        this.update(now);
    }

    /** Takes a load report and corrects it by what this entry has sent and finished since it was taken. */
    noteReport(report: LoadReport, now: Milliseconds, unixNow: number): void {
        const takenAt = measuredAt(report, now, unixNow);
        this.report = report;
        this.reportReceivedAt = now;
        this.others = Math.max(0, report.runningRequests + report.waitingRequests - this.history.at(takenAt));
        if (report.leaving) {
            this.leavingSince ??= now;
        }
        else if (this.leavingSince !== undefined && takenAt > this.leavingSince + leavingWordLag) {
            this.leavingSince = undefined;
        }
        this.update(now);
    }

    /** Records that it refused a request for want of room. */
    noteBusy(now: Milliseconds): void {
        this.busyUntil = now + refusalPause;
        this.update(now);
    }

    /** Records that it said that it lacks what a request needs. */
    noteLack(requirement: EndpointRequirement, now: Milliseconds): void {
        this.lacks.set(requirementKey(requirement), now + lackLifetime);
        this.update(now);
    }

    /** Records a fault; returns whether the endpoint was set aside by it. */
    noteFault(fault: HealthFault, now: Milliseconds, jitter: number): boolean {
        const changed = this.health.recordFault(fault, now, jitter);
        this.update(now);
        return changed;
    }

    /** Records the end of a probe; after a success it is on trial. */
    noteProbe(succeeded: boolean, now: Milliseconds, jitter: number): void {
        this.health.recordProbe(succeeded, now, jitter);
        if (succeeded) {
            this.pace.reset();
        }
        this.update(now);
    }

    /** Records a whole answer. */
    noteSuccess(now: Milliseconds): void {
        if (this.health.recordSuccess()) {
            this.update(now);
        }
    }

    /** Records that its pace was found normal. */
    noteNormalPace(now: Milliseconds): void {
        this.health.recordNormalPace();
        this.update(now);
    }

    /** Sets the number of entries that send requests to it. */
    shareAmong(sharers: number, now: Milliseconds): void {
        if (sharers !== this.sharers) {
            this.sharers = Math.max(1, sharers);
            this.update(now);
        }
    }

    /** Brings the free slots up to date with the time that has passed. */
    refresh(now: Milliseconds): void {
        const pauseOver = this.busyUntil !== -Infinity && now >= this.busyUntil;
        const reportOver = this.report !== undefined && now - this.reportReceivedAt > reportLifetime;
        if (pauseOver) {
            this.busyUntil = -Infinity;
        }
        if (reportOver) {
            this.report = undefined;
            this.others = 0;
        }
        const lackOver = this.forgetLacks(now);
        if (pauseOver || reportOver || lackOver) {
            this.update(now);
        }
    }

    /** Whether it has what a request needs, as far as known. */
    suits(requirement: EndpointRequirement): boolean {
        const { model, version, adapter } = requirement;
        if (this.lacks.size > 0 && this.lacks.has(requirementKey(requirement))) {
            return false;
        }
        const report = this.report;
        if (report?.model === undefined || report.model !== model) {
            return true;
        }
        const versionFits = version === undefined || report.version === undefined || report.version === version;
        const adapterFits = adapter === undefined || report.adapters === undefined || report.adapters.includes(adapter);
        return versionFits && adapterFits;
    }

    private changeRunning(difference: number, now: Milliseconds): void {
        this.ownRunning += difference;
        this.history.record(this.ownRunning, now);
        this.update(now);
    }

    private forgetLacks(now: Milliseconds): boolean {
        let forgotten = false;
        for (const [key, until] of this.lacks) {
            if (now >= until) {
                this.lacks.delete(key);
                forgotten = true;
            }
        }
        return forgotten;
    }

    private update(now: Milliseconds): void {
        this.freeSlots = this.usableNow(now) ? Math.max(0, this.countFree()) : 0;
        this.listener(this, now);
    }

    private usableNow(now: Milliseconds): boolean {
        return !this.leaving && !this.health.isSetAside && now >= this.busyUntil;
    }

    /** Its fair share of the slots is free to this entry always; what others leave unused is split among all. */
    private countFree(): number {
        if (this.health.state.kind === "trial") {
            return 1 - this.ownRunning;
        }
        const ownLimit = this.capacity - this.ownRunning;
        if (this.report === undefined) {
            return ownLimit;
        }
        const share = Math.floor(this.maximumRunning / this.sharers) - this.ownRunning;
        const unused = this.maximumRunning - this.estimatedRunning;
        const spare = unused > 0 ? Math.max(1, Math.floor(unused / this.sharers)) : 0;
        return Math.min(ownLimit, Math.max(share, spare));
    }
}

/** A text that is equal for equal requirements. */
export function requirementKey({ model, version, adapter }: EndpointRequirement): string {
    return `${model ?? ""}\n${version ?? ""}\n${adapter ?? ""}`;
}

import { randomInt } from "node:crypto";
import { EndpointAgent } from "../../../connection/hosted/endpointAgent.js";
import type { OpenConnection } from "../../../connection/hosted/endpointAgent.js";
import type { ReportedLoad } from "../../../request/hosted/callTraits.js";
import { hashText } from "../../../request/routing/hashText.js";
import type { Milliseconds } from "../../../util/clock.js";
import { mayBeRun } from "../endpointRecord.js";
import type { EndpointRecord, KnownRun } from "../endpointRecord.js";
import type { ListReading } from "./listReading.js";

/** Time constant with which measured waits and the load of other entries decay; about the duration of a call. */
const loadDecayTime: Milliseconds = 2_000;

/** Ejection time after the first failure; doubles with each consecutive failure. */
const initialEjectionTime: Milliseconds = 250;

const maximumEjectionTime: Milliseconds = 4_000;

/**
 * Time for which a closed connection counts as a sign of shutdown; after that, the platform's list shows a shutdown.
 */
const shutdownSignTime: Milliseconds = 1_500;

/** Weight of the newest outcome in the exponentially weighted failure rate. */
const newestOutcomeWeight = 0.1;

/** Maximum time for which an endpoint gets no calls because of one statement. */
const maximumRestTime: Milliseconds = 300_000;

/** Fraction of a brittle endpoint's slots that all entries together use. */
const brittleRoomFraction = 0.75;

/** Share of a brittle endpoint's room from which on each entry may use one slot. */
const minimumWholeShare = 0.5;

/** Maximum time for which an entry sends nothing to a brittle endpoint that has rejected a call of it. */
const maximumBrittleRest: Milliseconds = 10_000;

const shareRoundingSteps = 65_536;

/** A call that this entry sent to an endpoint and that has not ended. */
export interface OutstandingCall {
    /** Prompt tokens whose prefill is still pending; 0 once the first event has arrived. */
    pendingPrefillTokens: number;
    /** Priority at the endpoint, from 0 (highest) to 9. */
    readonly urgency: number;
    readonly sentAt: Milliseconds;
}

/** A measured queue wait. */
interface MeasuredWait {
    readonly wait: Milliseconds;
    readonly measuredAt: Milliseconds;
}

/** State of one endpoint at this entry: connections, load estimate and health. */
export class HostedEndpoint implements Disposable {
    readonly agent: EndpointAgent;
    /** 32-bit hash of the id, the same at all entries. */
    readonly idHash: number;
    private currentRecord: EndpointRecord;
    private run: KnownRun;
    private readonly queueWaits = new Map<number, MeasuredWait>();
    private readonly outstandingCalls = new Set<OutstandingCall>();
    private otherEntriesCalls = 0;
    private otherEntriesWaiting = 0;
    private otherEntriesMeasuredAt: Milliseconds = -Infinity;
    private consecutiveFailures = 0;
    private connectionClosedAt: Milliseconds = -Infinity;
    private lastReceivedAt: Milliseconds = -Infinity;
    private ejectedUntil: Milliseconds = -Infinity;
    private weightedFailureRate = 0;
    private hasStatedLeaving = false;
    /** A list that was read at this time at the latest shows the endpoint as leaving; the newest one of such lists. */
    private listedLeavingUntil: Milliseconds = -Infinity;
    private restsUntil: Milliseconds = -Infinity;
    /** Undefined unless the endpoint is brittle. */
    private toleratedRejections: number | undefined;
    /** Rounds this entry's share of the endpoint's room, so that the shares of all entries add up to it on average. */
    private readonly shareRounding = randomInt(shareRoundingSteps) / shareRoundingSteps;

    constructor(record: EndpointRecord, openConnection?: OpenConnection) {
        this.agent = new EndpointAgent(openConnection);
        this.currentRecord = record;
        this.run = record;
        this.idHash = hashText(record.id);
    }

    get record(): EndpointRecord {
        return this.currentRecord;
    }

    /** Whether the endpoint is about to stop, by the platform's list or by its own statement. */
    get isLeaving(): boolean {
        return this.currentRecord.isLeaving || this.listedLeavingUntil > -Infinity || this.hasStatedLeaving;
    }

    get id(): string {
        return this.currentRecord.id;
    }

    /** Number of this entry's calls that are in progress at the endpoint. */
    get outstandingCount(): number {
        return this.outstandingCalls.size;
    }

    /** Exponentially weighted failure rate of recent calls, from 0 to 1. */
    get failureRate(): number {
        return this.weightedFailureRate;
    }

    /** Prompt tokens with pending prefill, over all calls of this entry. */
    get pendingPrefillTokens(): number {
        let tokens = 0;
        this.outstandingCalls.forEach(call => tokens += call.pendingPrefillTokens);
        return tokens;
    }

    /**
     * Wait so far of this entry's oldest call with pending prefill and at least the given urgency; 0 if there is none.
     */
    longestPendingWait(urgency: number, now: Milliseconds): Milliseconds {
        let longest = 0;
        for (const call of this.outstandingCalls) {
            if (call.pendingPrefillTokens > 0 && call.urgency <= urgency) {
                longest = Math.max(longest, now - call.sentAt);
            }
        }
        return longest;
    }

    /** Records how long a call waited in the endpoint's queue. */
    recordQueueWait(urgency: number, wait: Milliseconds, now: Milliseconds): void {
        this.queueWaits.set(urgency, { wait, measuredAt: now });
    }

    /** The last measured queue wait of an urgency, decayed by its age. */
    recentQueueWait(urgency: number, now: Milliseconds): Milliseconds {
        const measured = this.queueWaits.get(urgency);
        return measured === undefined ? 0 : measured.wait * Math.exp((measured.measuredAt - now) / loadDecayTime);
    }

    /** Whether a row of a list, or another entry, may mean this run of the endpoint. */
    mayBe(run: KnownRun): boolean {
        return mayBeRun(this.run, run);
    }

    /** Replaces the record by a newer listing; one that was certainly read later ends what earlier lists show. */
    updateRecord(record: EndpointRecord, reading: Pick<ListReading, "earliest" | "latest">): void {
        this.currentRecord = record;
        this.run = {
            ...record,
            startedAt: record.startedAt ?? this.run.startedAt,
            softwareVersion: record.softwareVersion ?? this.run.softwareVersion,
        };
        this.confirmListing(reading);
    }

    /** Records a reading of the list that shows the endpoint as its record does. */
    confirmListing(reading: Pick<ListReading, "earliest" | "latest">): void {
        if (this.currentRecord.isLeaving) {
            this.recordListedLeaving(reading);
        }
        else if (reading.earliest > this.listedLeavingUntil) {
            this.listedLeavingUntil = -Infinity;
        }
    }

    /** Records that a list shows the endpoint as leaving, whether that list is in force or not. */
    recordListedLeaving({ latest }: Pick<ListReading, "latest">): void {
        this.listedLeavingUntil = Math.max(this.listedLeavingUntil, latest);
    }

    addCall(call: OutstandingCall, now: Milliseconds): void {
        if (this.outstandingCalls.size === 0) {
            this.lastReceivedAt = now;
        }
        this.outstandingCalls.add(call);
    }

    removeCall(call: OutstandingCall): void {
        this.outstandingCalls.delete(call);
    }

    /** Records that the endpoint has stated that it is about to stop; this holds until it is listed as another run. */
    recordLeaving(): void {
        this.hasStatedLeaving = true;
    }

    /** Records that the endpoint takes no calls of this entry for a time; a very long time is shortened. */
    recordRest(duration: Milliseconds, now: Milliseconds): void {
        this.restsUntil = Math.max(this.restsUntil, now + Math.min(duration, maximumRestTime));
    }

    /**
     * Records how many calls a second the endpoint can reject for want of room without failing; undefined if it is not
     * brittle.
     */
    recordBrittleness(toleratedRejections: number | undefined): void {
        this.toleratedRejections = toleratedRejections;
    }

    get isBrittle(): boolean {
        return this.toleratedRejections !== undefined;
    }

    /**
     * Whether this entry may send another call: to a brittle endpoint, all entries together send no more at once than it
     * has slots, so that it need not reject any.
     *
     * @param entryCount Number of entries that are serving.
     */
    hasRoom(entryCount: number): boolean {
        if (this.toleratedRejections === undefined) {
            return true;
        }
        const share = this.record.slots * brittleRoomFraction / Math.max(1, entryCount);
        const minimumCalls = share >= minimumWholeShare ? 1 : 0;
        return this.outstandingCalls.size < Math.max(minimumCalls, Math.floor(share + this.shareRounding));
    }

    isResting(now: Milliseconds): boolean {
        return now < this.restsUntil;
    }

    /** Time until the endpoint takes calls of this entry; 0 if it does not rest. */
    remainingRest(now: Milliseconds): Milliseconds {
        return Math.max(0, this.restsUntil - now);
    }

    /** Records that the endpoint closed a connection, which may indicate a shutdown. */
    recordConnectionClose(now: Milliseconds): void {
        this.connectionClosedAt = now;
    }

    /** Whether the endpoint may be shutting down although the platform's list does not show it yet. */
    mayBeShuttingDown(now: Milliseconds): boolean {
        return now - this.connectionClosedAt < shutdownSignTime;
    }

    /** Records that data arrived from the endpoint. */
    recordData(now: Milliseconds): void {
        this.lastReceivedAt = now;
    }

    /** Time without data from the endpoint while calls are in progress; 0 if there are none. */
    silentTime(now: Milliseconds): Milliseconds {
        return this.outstandingCalls.size === 0 ? 0 : now - this.lastReceivedAt;
    }

    /** Records the load that the endpoint reports, and attributes what exceeds this entry's calls to other entries. */
    recordLoad(load: ReportedLoad, now: Milliseconds): void {
        this.otherEntriesCalls = Math.max(0, load.running + load.waiting - this.outstandingCalls.size);
        this.otherEntriesWaiting = Math.min(load.waiting, this.otherEntriesCalls);
        this.otherEntriesMeasuredAt = now;
    }

    /** Estimated number of calls of all entries at the endpoint. */
    estimatedCalls(now: Milliseconds): number {
        return this.outstandingCalls.size + this.otherEntriesCalls * this.loadDecay(now);
    }

    /** Estimated number of other entries' calls that wait in the endpoint's queue. */
    estimatedOtherEntriesWaiting(now: Milliseconds): number {
        return this.otherEntriesWaiting * this.loadDecay(now);
    }

    /** Records a successful response; ends the ejection. */
    recordSuccess(): void {
        this.consecutiveFailures = 0;
        this.ejectedUntil = -Infinity;
        this.weightedFailureRate *= 1 - newestOutcomeWeight;
    }

    /** Forgets failures that say nothing about the endpoint. */
    resetHealth(): void {
        this.consecutiveFailures = 0;
        this.ejectedUntil = -Infinity;
        this.weightedFailureRate = 0;
    }

    /** Records that the endpoint was unreachable or its response was lost or invalid; ejects it for a while. */
    recordFailure(now: Milliseconds): void {
        this.weightedFailureRate += newestOutcomeWeight * (1 - this.weightedFailureRate);
        this.consecutiveFailures++;
        const ejectionTime = Math.min(maximumEjectionTime, initialEjectionTime * 2 ** (this.consecutiveFailures - 1));
        this.ejectedUntil = now + ejectionTime;
    }

    /** Records an error response; the endpoint is not ejected. */
    recordErrorResponse(): void {
        this.weightedFailureRate += newestOutcomeWeight * (1 - this.weightedFailureRate);
    }

    /**
     * Records that the endpoint rejected a call because it was at capacity. A brittle one rests, so that all entries
     * together cause no more rejections than it tolerates.
     *
     * @param entryCount Number of entries that are serving.
     */
    recordAtCapacity(entryCount: number, now: Milliseconds): void {
        if (this.toleratedRejections !== undefined) {
            const rest = entryCount * 1_000 / this.toleratedRejections;
            this.recordRest(Math.min(rest, maximumBrittleRest), now);
        }
        this.otherEntriesCalls = Math.max(this.otherEntriesCalls, this.record.slots - this.outstandingCalls.size);
        this.otherEntriesMeasuredAt = now;
    }

    isEjected(now: Milliseconds): boolean {
        return now < this.ejectedUntil;
    }

    [Symbol.dispose](): void {
        this.agent.destroy();
    }

    private loadDecay(now: Milliseconds): number {
        return Math.exp((this.otherEntriesMeasuredAt - now) / loadDecayTime);
    }
}

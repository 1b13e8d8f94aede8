import { EndpointAgent } from "../../../connection/hosted/endpointAgent.js";
import type { ReportedLoad } from "../../../request/hosted/callTraits.js";
import { textHash } from "../../../request/routing/textHash.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { EndpointRecord } from "../endpointRecord.js";

/** Time constant with which measured waits and the load of other entries decay; about the duration of a call. */
const loadMemory: Milliseconds = 2_000;

/** Ejection time after the first failure; doubles with each consecutive failure. */
const firstSetAside: Milliseconds = 250;

/** Maximum ejection time. */
const longestSetAside: Milliseconds = 4_000;

/**
 * Time for which a closed connection counts as a sign of shutdown; after that, the platform's list shows a shutdown.
 */
const closingMemory: Milliseconds = 1_500;

/** Weight of the newest outcome in the exponentially weighted failure rate. */
const outcomeWeight = 0.1;

/** A call that this entry sent to an endpoint and that has not ended. */
export interface OutstandingCall {
    /** Prompt tokens whose prefill is still pending; 0 once the first event has arrived. */
    pendingTokens: number;
    /** Priority at the endpoint, from 0 (highest) to 9. */
    readonly urgency: number;
    readonly sentAt: Milliseconds;
}

/** A measured queue wait. */
interface SeenWait {
    readonly wait: Milliseconds;
    readonly seenAt: Milliseconds;
}

/** State of one endpoint at this entry: connections, load estimate and health. */
export class HostedEndpoint implements Disposable {
    readonly agent = new EndpointAgent();
    /** 32-bit hash of the id, the same at all entries. */
    readonly idHash: number;
    private latestRecord: EndpointRecord;
    private readonly waits = new Map<number, SeenWait>();
    private readonly calls = new Set<OutstandingCall>();
    private othersLoad = 0;
    private othersWaiting = 0;
    private othersNotedAt: Milliseconds = -Infinity;
    private failuresInRow = 0;
    private closingAt: Milliseconds = -Infinity;
    private heardAt: Milliseconds = -Infinity;
    private asideUntil: Milliseconds = -Infinity;
    private failures = 0;

    constructor(record: EndpointRecord) {
        this.latestRecord = record;
        this.idHash = textHash(record.id);
    }

    get record(): EndpointRecord {
        return this.latestRecord;
    }

    get id(): string {
        return this.latestRecord.id;
    }

    /** Number of this entry's calls that are in progress at the endpoint. */
    get outstanding(): number {
        return this.calls.size;
    }

    /** Exponentially weighted failure rate of recent calls, from 0 to 1. */
    get failureShare(): number {
        return this.failures;
    }

    /** Prompt tokens with pending prefill, over all calls of this entry. */
    get pendingTokens(): number {
        let tokens = 0;
        this.calls.forEach(call => tokens += call.pendingTokens);
        return tokens;
    }

    /**
     * Wait so far of this entry's oldest call with pending prefill and at least the given urgency; 0 if there is none.
     */
    pendingAge(urgency: number, now: Milliseconds): Milliseconds {
        let age = 0;
        for (const call of this.calls) {
            if (call.pendingTokens > 0 && call.urgency <= urgency) {
                age = Math.max(age, now - call.sentAt);
            }
        }
        return age;
    }

    /** Records how long a call waited in the endpoint's queue. */
    noteWait(urgency: number, wait: Milliseconds, now: Milliseconds): void {
        this.waits.set(urgency, { wait, seenAt: now });
    }

    /** The last measured queue wait of an urgency, decayed by its age. */
    recentWait(urgency: number, now: Milliseconds): Milliseconds {
        const seen = this.waits.get(urgency);
        return seen === undefined ? 0 : seen.wait * Math.exp((seen.seenAt - now) / loadMemory);
    }

    /** Replaces the record by a newer listing. */
    update(record: EndpointRecord): void {
        this.latestRecord = record;
    }

    begin(call: OutstandingCall, now: Milliseconds): void {
        if (this.calls.size === 0) {
            this.heardAt = now;
        }
        this.calls.add(call);
    }

    end(call: OutstandingCall): void {
        this.calls.delete(call);
    }

    /** Records that the endpoint closed a connection, which may indicate a shutdown. */
    noteClosing(now: Milliseconds): void {
        this.closingAt = now;
    }

    /** Whether the endpoint may be shutting down although the platform's list does not show it yet. */
    mayBeLeaving(now: Milliseconds): boolean {
        return now - this.closingAt < closingMemory;
    }

    /** Records that data arrived from the endpoint. */
    noteHeard(now: Milliseconds): void {
        this.heardAt = now;
    }

    /** Time without data from the endpoint while calls are in progress; 0 if there are none. */
    silence(now: Milliseconds): Milliseconds {
        return this.calls.size === 0 ? 0 : now - this.heardAt;
    }

    /** Records the load that the endpoint reports, and attributes what exceeds this entry's calls to other entries. */
    noteLoad(load: ReportedLoad, now: Milliseconds): void {
        this.othersLoad = Math.max(0, load.running + load.waiting - this.calls.size);
        this.othersWaiting = Math.min(load.waiting, this.othersLoad);
        this.othersNotedAt = now;
    }

    /** Estimated number of calls of all entries at the endpoint. */
    estimatedCalls(now: Milliseconds): number {
        return this.calls.size + this.othersLoad * this.fading(now);
    }

    /** Estimated number of other entries' calls that wait in the endpoint's queue. */
    estimatedForeignWaiting(now: Milliseconds): number {
        return this.othersWaiting * this.fading(now);
    }

    /** Records a successful response; ends the ejection. */
    noteSuccess(): void {
        this.failuresInRow = 0;
        this.asideUntil = -Infinity;
        this.failures *= 1 - outcomeWeight;
    }

    /** Records that the endpoint was unreachable or its response was lost or invalid; ejects it for a while. */
    noteFailure(now: Milliseconds): void {
        this.failures += outcomeWeight * (1 - this.failures);
        this.failuresInRow++;
        const pause = Math.min(longestSetAside, firstSetAside * 2 ** (this.failuresInRow - 1));
        this.asideUntil = now + pause;
    }

    /** Records an error response; the endpoint is not ejected. */
    noteFailedAnswer(): void {
        this.failures += outcomeWeight * (1 - this.failures);
    }

    /** Records that the endpoint rejected a call because it was at capacity. */
    noteFull(now: Milliseconds): void {
        this.othersLoad = Math.max(this.othersLoad, this.record.slots - this.calls.size);
        this.othersNotedAt = now;
    }

    isSetAside(now: Milliseconds): boolean {
        return now < this.asideUntil;
    }

    [Symbol.dispose](): void {
        this.agent.destroy();
    }

    private fading(now: Milliseconds): number {
        return Math.exp((this.othersNotedAt - now) / loadMemory);
    }
}

import { EndpointAgent } from "../../../connection/hosted/endpointAgent.js";
import type { ReportedLoad } from "../../../request/hosted/callTraits.js";
import { hashText } from "../../../request/routing/hashText.js";
import type { Milliseconds } from "../../../util/clock.js";
import type { EndpointRecord } from "../endpointRecord.js";

/** Time constant with which reported load of other entries fades; calls last about as long. */
const loadMemory: Milliseconds = 2_000;

/** First time for which an endpoint is set aside after a failure in a row; it doubles with each further one. */
const firstSetAside: Milliseconds = 250;

/** Longest time for which an endpoint is set aside. */
const longestSetAside: Milliseconds = 4_000;

/** How long a closed connection is taken for a sign of leaving: the platform's list shows it by then. */
const closingMemory: Milliseconds = 1_500;

/** Weight of the newest outcome in the share of failures. */
const outcomeWeight = 0.1;

/** A call that this entry has under way at an endpoint. */
export interface OutstandingCall {
    /** Prompt tokens that the endpoint must still read before the first event; 0 once it has come. */
    pendingTokens: number;
    /** 0 to 9; 0 goes first at the endpoint. */
    readonly urgency: number;
    readonly sentAt: Milliseconds;
}

/** A wait that was seen lately. */
interface SeenWait {
    readonly wait: Milliseconds;
    readonly seenAt: Milliseconds;
}

/** One endpoint as this entry sees it. */
export class HostedEndpoint implements Disposable {
    readonly agent = new EndpointAgent();
    /** A 32-bit hash of the identity, the same at all entries. */
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
        this.idHash = hashText(record.id);
    }

    get record(): EndpointRecord {
        return this.latestRecord;
    }

    get id(): string {
        return this.latestRecord.id;
    }

    /** Calls of this entry that are under way here. */
    get outstanding(): number {
        return this.calls.size;
    }

    /** Share of recent calls that failed, from 0 to 1. */
    get failureShare(): number {
        return this.failures;
    }

    /** Prompt tokens of this entry's calls that wait for their first event. */
    get pendingTokens(): number {
        let tokens = 0;
        this.calls.forEach(call => tokens += call.pendingTokens);
        return tokens;
    }

    /** How long the oldest of this entry's calls waits that are at least as urgent and have not begun. */
    pendingAge(urgency: number, now: Milliseconds): Milliseconds {
        let age = 0;
        for (const call of this.calls) {
            if (call.pendingTokens > 0 && call.urgency <= urgency) {
                age = Math.max(age, now - call.sentAt);
            }
        }
        return age;
    }

    /** Notes how long a call waited in the endpoint's queue. */
    noteWait(urgency: number, wait: Milliseconds, now: Milliseconds): void {
        this.waits.set(urgency, { wait, seenAt: now });
    }

    /** The wait that calls of an urgency have seen lately; it fades with time. */
    recentWait(urgency: number, now: Milliseconds): Milliseconds {
        const seen = this.waits.get(urgency);
        return seen === undefined ? 0 : seen.wait * Math.exp((seen.seenAt - now) / loadMemory);
    }

    /** Takes over what the platform lists now. */
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

    /** Notes that the endpoint closes a connection; it may be about to leave. */
    noteClosing(now: Milliseconds): void {
        this.closingAt = now;
    }

    /** Whether the endpoint may be leaving although the platform's list does not show it yet. */
    mayBeLeaving(now: Milliseconds): boolean {
        return now - this.closingAt < closingMemory;
    }

    /** Notes that bytes have come from the endpoint. */
    noteHeard(now: Milliseconds): void {
        this.heardAt = now;
    }

    /** How long nothing has come although calls are under way. */
    silence(now: Milliseconds): Milliseconds {
        return this.calls.size === 0 ? 0 : now - this.heardAt;
    }

    /** Takes the load that the endpoint reports of itself; what is not this entry's is the others'. */
    noteLoad(load: ReportedLoad, now: Milliseconds): void {
        this.othersLoad = Math.max(0, load.running + load.waiting - this.calls.size);
        this.othersWaiting = Math.min(load.waiting, this.othersLoad);
        this.othersNotedAt = now;
    }

    /** Calls of all entries that are estimated to be here. */
    estimatedCalls(now: Milliseconds): number {
        return this.calls.size + this.othersLoad * this.fading(now);
    }

    /** Waiting calls of other entries that are estimated to be here. */
    estimatedForeignWaiting(now: Milliseconds): number {
        return this.othersWaiting * this.fading(now);
    }

    /** Notes that the endpoint answered as it should. */
    noteSuccess(): void {
        this.failuresInRow = 0;
        this.asideUntil = -Infinity;
        this.failures *= 1 - outcomeWeight;
    }

    /** Notes that the endpoint was not reached, or spoiled an answer; it gets no work for a while. */
    noteFailure(now: Milliseconds): void {
        this.failures += outcomeWeight * (1 - this.failures);
        this.failuresInRow++;
        const pause = Math.min(longestSetAside, firstSetAside * 2 ** (this.failuresInRow - 1));
        this.asideUntil = now + pause;
    }

    /** Notes an answer that says the call failed; the endpoint goes on to get work. */
    noteFailedAnswer(): void {
        this.failures += outcomeWeight * (1 - this.failures);
    }

    /** Notes that the endpoint had no room for a call. */
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

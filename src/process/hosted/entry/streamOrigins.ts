import type { StartedStreams } from "../../../connection/hosted/streamMessages.js";
import { maximumStreamsPerMessage } from "../../../connection/hosted/streamMessages.js";
import type { Clock, Milliseconds } from "../../../util/clock.js";
import type { StreamOrigin } from "../streamOrigin.js";
import { StreamOriginStore } from "../streamOriginStore.js";

/** Maximum number of streams that an entry remembers. */
const maximumStreams = 16_384;

/** Minimum delay after which control processes are told of a stream that began. */
const minimumReportDelay: Milliseconds = 20;

/** The same delay for each entry; the longer one applies, so that the leader's load does not grow with their number. */
const reportDelayPerEntry: Milliseconds = 3;

/** Additional time that a report of another entry takes to arrive. */
const reportTransferTime: Milliseconds = 80;

/** What control processes know of a stream. */
export interface StreamOriginAnswer {
    readonly origin: StreamOrigin | undefined;
    /** Whether the leader was asked and responded. */
    readonly isFromLeader: boolean;
}

/** Dependencies of {@link StreamOrigins}. */
export interface StreamOriginsContext {
    readonly clock: Clock;
    /** Number of entries that are serving. */
    readonly entryCount: () => number;
    /** Asks control processes for the origin of a stream. */
    readonly ask: (team: string | undefined, callId: string) => Promise<StreamOriginAnswer>;
    /** Called when control processes should be told of streams that began. */
    readonly onReportDue: () => void;
}

interface StartedStream {
    readonly team: string | undefined;
    readonly callId: string;
    readonly origin: StreamOrigin;
    readonly lifetime: Milliseconds;
    readonly expiresAt: Milliseconds;
}

/**
 * Origins of streams at an entry: those that began here, which it tells the control processes, and those of other
 * entries, for which it asks them.
 */
export class StreamOrigins {
    private readonly store = new StreamOriginStore(maximumStreams);
    /** The newest streams that began here, numbered consecutively up to {@link newestStream}. */
    private started: StartedStream[] = [];
    private newestNumber = 0;
    private isReportPending = false;

    constructor(private readonly context: StreamOriginsContext) {}

    /** Number of the newest stream that began at this entry. */
    get newestStream(): number {
        return this.newestNumber;
    }

    /**
     * Records that the first event of a stream was received.
     *
     * @param callId Identifier that the caller gave its call.
     * @param lifetime Time for which the caller may continue the stream.
     */
    recordStart(
        team: string | undefined,
        callId: string,
        origin: StreamOrigin,
        lifetime: Milliseconds,
        now: Milliseconds,
    ): void {
        this.newestNumber++;
        const expiresAt = now + lifetime;
        this.started.push({ team, callId, origin, lifetime, expiresAt });
        if (this.started.length > maximumStreams) {
            this.started = this.started.slice(-maximumStreams / 2);
            this.store.prune(now);
        }
        this.store.record(team ?? "", callId, origin, expiresAt);
        void this.reportLater();
    }

    /** The origin of a stream, from this entry or from control processes. */
    async find(team: string | undefined, callId: string): Promise<StreamOriginAnswer> {
        const { clock, ask } = this.context;
        const ownOrigin = this.store.find(team ?? "", callId, clock.now());
        if (ownOrigin !== undefined) {
            return { origin: ownOrigin, isFromLeader: false };
        }
        const answer = await ask(team, callId);
        if (answer.origin !== undefined) {
            return answer;
        }
        // The entry where the stream began may not have reported it yet.
        await clock.sleep(this.reportDelay() + reportTransferTime);
        return ask(team, callId);
    }

    /** Streams that began after the one with the given number and may still be continued, by team and origin. */
    startedSince(number: number, now: Milliseconds): readonly StartedStreams[] {
        const groups: (StartedStreams & { readonly callIds: string[]; })[] = [];
        const openGroups = new Map<string, typeof groups[number]>();
        const firstIndex = Math.max(0, this.started.length - (this.newestNumber - number));
        for (const { team, origin, lifetime, callId, expiresAt } of this.started.slice(firstIndex)) {
            if (now >= expiresAt) {
                continue;
            }
            const key = JSON.stringify([team, origin, lifetime]);
            let group = openGroups.get(key);
            if (group === undefined || group.callIds.length >= maximumStreamsPerMessage) {
                group = { ...team === undefined ? {} : { team }, origin, lifetime, callIds: [] };
                groups.push(group);
                openGroups.set(key, group);
            }
            group.callIds.push(callId);
        }
        return groups;
    }

    private reportDelay(): Milliseconds {
        return Math.max(minimumReportDelay, this.context.entryCount() * reportDelayPerEntry);
    }

    private async reportLater(): Promise<void> {
        if (this.isReportPending) {
            return;
        }
        this.isReportPending = true;
        await this.context.clock.sleep(this.reportDelay());
        this.isReportPending = false;
        this.context.onReportDue();
    }
}

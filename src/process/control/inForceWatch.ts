import type { Clock, Milliseconds } from "../../util/clock.js";
import { TimeHistogram } from "../metrics/timeHistogram.js";
import type { Incarnation } from "../usage/incarnationTable.js";
import type { EntryTable } from "./entryTable.js";

/** How often the watch looks, and so how exact its times are, in milliseconds. */
const watchInterval: Milliseconds = 100;

/** Versions that are watched at once; beyond it the newest wait for an older one to be in force. */
const maximumPending = 1_000;

interface PendingVersion {
    readonly version: number;
    readonly seenAt: Milliseconds;
}

/** Measures how long it takes from the acceptance of a version until no entry can serve with an older one. */
export class InForceWatch {
    /** Times from acceptance until in force everywhere. */
    readonly times = new TimeHistogram();
    private pending: PendingVersion[] = [];
    private newest = 0;
    private term: number | undefined;

    /**
     * @param entries The entries that the leader knows.
     * @param registered Every registered incarnation, also of entries that the leader has not heard of yet.
     */
    constructor(private readonly entries: EntryTable, private readonly registered: () => readonly Incarnation[]) {}

    /** Age of the oldest version that is not yet in force everywhere; 0 where there is none. */
    oldestPending(now: Milliseconds): Milliseconds {
        const [oldest] = this.pending;
        return oldest === undefined ? 0 : now - oldest.seenAt;
    }

    /**
     * Looks at the entries once.
     *
     * @param term Term in which this process leads; undefined while it does not, and then nothing is measured.
     * @param version Newest accepted version.
     */
    observe(term: number | undefined, version: number, now: Milliseconds): void {
        if (term === undefined || term !== this.term) {
            this.term = term;
            this.newest = version;
            this.pending = [];
            return;
        }
        if (version > this.newest && this.pending.length < maximumPending) {
            this.newest = version;
            this.pending.push({ version, seenAt: now });
        }
        this.settle(now);
    }

    /** Looks at regular intervals until stopped. */
    async run(
        leadingTerm: () => number | undefined,
        version: () => number,
        clock: Clock,
        stop: AbortSignal,
    ): Promise<void> {
        while (!stop.aborted) {
            this.observe(leadingTerm(), version(), clock.now());
            await clock.sleep(watchInterval, stop);
        }
    }

    private settle(now: Milliseconds): void {
        if (this.pending.length === 0 || this.entries.unheard(this.registered(), now).length > 0) {
            return;
        }
        for (const { version, seenAt } of [...this.pending]) {
            if (this.entries.behind(version, now).length > 0) {
                return;
            }
            this.pending.shift();
            this.times.record(now - seenAt);
        }
    }
}

import type { Clock, Milliseconds } from "../../util/clock.js";
import { TimeHistogram } from "../metrics/timeHistogram.js";
import type { Incarnation } from "../usage/incarnationTable.js";
import type { EntryTable } from "./entryTable.js";

/** Time between two checks, in milliseconds; it limits the resolution of the measured times. */
const pollInterval: Milliseconds = 100;

/** Maximum number of pending versions; while it is reached, newer versions are not added. */
const maximumPendingVersions = 1_000;

/** An accepted version that is not known to be in force everywhere. */
interface PendingVersion {
    readonly version: number;
    /** Time at which the monitor first observed the version. */
    readonly seenAt: Milliseconds;
}

/** Measures the time from the acceptance of a version until no entry can serve an older one. */
export class InForceMonitor {
    /** Times from the acceptance of a version until it is in force everywhere, in milliseconds. */
    readonly times = new TimeHistogram();
    private pendingVersions: PendingVersion[] = [];
    private newestVersion = 0;
    private term: number | undefined;

    /**
     * @param entries Entries known to the leader.
     * @param registeredIncarnations Returns all registered incarnations, including those not known to the leader yet.
     */
    constructor(
        private readonly entries: EntryTable,
        private readonly registeredIncarnations: () => readonly Incarnation[],
    ) {}

    /** Returns the age of the oldest version that is not yet in force everywhere; 0 if there is none. */
    oldestPendingAge(now: Milliseconds): Milliseconds {
        const [oldest] = this.pendingVersions;
        return oldest === undefined ? 0 : now - oldest.seenAt;
    }

    /**
     * Checks once which pending versions are in force.
     *
     * @param term Term in which this process leads; undefined while it does not lead, and then nothing is measured.
     * @param version Latest accepted version.
     */
    observe(term: number | undefined, version: number, now: Milliseconds): void {
        if (term === undefined || term !== this.term) {
            this.term = term;
            this.newestVersion = version;
            this.pendingVersions = [];
            return;
        }
        if (version > this.newestVersion && this.pendingVersions.length < maximumPendingVersions) {
            this.newestVersion = version;
            this.pendingVersions.push({ version, seenAt: now });
        }
        this.recordVersionsInForce(now);
    }

    /** Checks at regular intervals until aborted. */
    async run(
        leadingTerm: () => number | undefined,
        version: () => number,
        clock: Clock,
        stopSignal: AbortSignal,
    ): Promise<void> {
        while (!stopSignal.aborted) {
            this.observe(leadingTerm(), version(), clock.now());
            await clock.sleep(pollInterval, stopSignal);
        }
    }

    private recordVersionsInForce(now: Milliseconds): void {
        if (
            this.pendingVersions.length === 0
            || this.entries.unreportedEntries(this.registeredIncarnations(), now).length > 0
        ) {
            return;
        }
        for (const { version, seenAt } of [...this.pendingVersions]) {
            if (this.entries.entriesBehind(version, now).length > 0) {
                return;
            }
            this.pendingVersions.shift();
            this.times.record(now - seenAt);
        }
    }
}

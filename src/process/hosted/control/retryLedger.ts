import type { RetryReport } from "../../../connection/hosted/retryMessages.js";
import type { Milliseconds } from "../../../util/clock.js";
import { SlidingWindowCounter } from "../../../util/slidingWindowCounter.js";
import type { ExpositionWriter } from "../../metrics/expositionWriter.js";
import type { HostedBounds } from "../hostedSettings.js";
import { grantedFraction, ownFraction } from "../retryPolicy.js";
import type { RetryGrant } from "../retryPolicy.js";

/** Time from a grant until the retry has reached an endpoint, at most; grants count for that much longer. */
const deliveryTime: Milliseconds = 1_000;

/** Age from which an entry's report is not used any more; longer than any interval between heartbeats. */
const reportValidity: Milliseconds = 4_000;

/**
 * Time for which a new leader decides nothing: entries report within it what earlier leaders have granted to them.
 */
const settleTime: Milliseconds = 2_000;

/** Shortest time for which a denied entry asks for no further retry. */
const minimumDenialTime: Milliseconds = 200;

/** The same time for each entry that was denied a retry lately, so that denied requests stay at about 100 a second. */
const denialTimePerEntry: Milliseconds = 10;

/** Time for which an entry counts as denied. */
const contenderTime: Milliseconds = 5_000;

interface EntryReport {
    readonly counts: RetryReport;
    readonly receivedAt: Milliseconds;
}

/**
 * The retries of all entries in the window of the retry budget, and the leader's decisions on further ones.
 *
 * All control processes record reports; only the leader, under its lease, decides.
 */
export class RetryLedger {
    private readonly reports = new Map<string, EntryReport>();
    /** Granted retries, by service and entry. */
    private readonly grants = new Map<string, Map<string, SlidingWindowCounter>>();
    /** When each entry was denied a retry last. */
    private readonly deniedAt = new Map<string, Milliseconds>();
    /** The term in which this process leads, and since when; undefined while it does not lead. */
    private leadership: { readonly term: number; readonly since: Milliseconds; } | undefined;
    private granted = 0;
    private denied = 0;

    constructor(private readonly bounds: HostedBounds) {}

    /** Records the term in which this process leads, undefined if it does not; to be called before a decision. */
    recordTerm(term: number | undefined, now: Milliseconds): void {
        if (term !== this.leadership?.term) {
            this.leadership = term === undefined ? undefined : { term, since: now };
        }
    }

    /** Whether a leader knows what earlier leaders have granted. */
    isSettled(now: Milliseconds): boolean {
        return this.leadership !== undefined && now - this.leadership.since >= settleTime;
    }

    /**
     * Records the counts of an entry. Retries that this process did not grant are counted as granted now, because they
     * may be that recent.
     *
     * @param entry Identifies one run of an entry's process.
     */
    recordReport(entry: string, counts: RetryReport, now: Milliseconds): void {
        this.reports.set(entry, { counts, receivedAt: now });
        for (const [service, { granted }] of Object.entries(counts)) {
            const counter = this.grantsOf(service, entry);
            counter.add(now, Math.max(0, granted - counter.count(now)));
        }
    }

    /** Decides on a request of an entry for one retry. */
    request(entry: string, service: string, now: Milliseconds): RetryGrant {
        if (this.grantedIn(service, now) + 1 <= this.grantable(service, now)) {
            this.granted++;
            this.grantsOf(service, entry).add(now);
            return { isGranted: true, delay: 0 };
        }
        this.denied++;
        this.deniedAt.set(entry, now);
        return { isGranted: false, delay: Math.max(minimumDenialTime, this.countDenied(now) * denialTimePerEntry) };
    }

    /** Forgets entries and grants that do not count any more. */
    prune(now: Milliseconds): void {
        for (const [entry, { receivedAt }] of this.reports) {
            if (now - receivedAt > reportValidity) {
                this.reports.delete(entry);
            }
        }
        for (const [service, counters] of this.grants) {
            for (const [entry, counter] of counters) {
                if (counter.count(now) === 0) {
                    counters.delete(entry);
                }
            }
            if (counters.size === 0) {
                this.grants.delete(service);
            }
        }
        this.countDenied(now);
    }

    write(writer: ExpositionWriter): void {
        writer.family("gullhall_retry_grants_total", "counter", "Requests of entries for retries, by decision.");
        writer.sample("gullhall_retry_grants_total", { decision: "granted" }, this.granted);
        writer.sample("gullhall_retry_grants_total", { decision: "denied" }, this.denied);
    }

    /**
     * Maximum number of granted retries in the window; less if entries have taken more than their shares by rounding
     * them up.
     */
    private grantable(service: string, now: Milliseconds): number {
        let calls = 0;
        let own = 0;
        for (const { counts, receivedAt } of this.reports.values()) {
            const known = now - receivedAt <= reportValidity ? counts[service] : undefined;
            calls += known?.calls ?? 0;
            own += known?.own ?? 0;
        }
        const bound = calls * this.bounds.retryFraction + this.bounds.retryReserve;
        return Math.min(grantedFraction * bound, (grantedFraction + ownFraction) * bound - own);
    }

    private grantedIn(service: string, now: Milliseconds): number {
        let granted = 0;
        for (const counter of this.grants.get(service)?.values() ?? []) {
            granted += counter.count(now);
        }
        return granted;
    }

    private grantsOf(service: string, entry: string): SlidingWindowCounter {
        const counters = this.grants.get(service) ?? new Map<string, SlidingWindowCounter>();
        this.grants.set(service, counters);
        const counter = counters.get(entry) ?? new SlidingWindowCounter(this.bounds.retryWindow + deliveryTime);
        counters.set(entry, counter);
        return counter;
    }

    private countDenied(now: Milliseconds): number {
        for (const [entry, deniedAt] of this.deniedAt) {
            if (now - deniedAt > contenderTime) {
                this.deniedAt.delete(entry);
            }
        }
        return this.deniedAt.size;
    }
}

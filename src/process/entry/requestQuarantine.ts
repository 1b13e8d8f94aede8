import type { Milliseconds } from "../../util/clock.js";
import type { CrashReport, HeldRequest } from "../control/crashedRequestLedger.js";

/** Maximum number of crashes that wait to be reported. */
const maximumPendingCrashes = 128;

/** Maximum number of requests that are remembered as suspected. */
const maximumSuspects = 1_024;

/** Requests that are held back because they crash endpoints, and what this entry has to report about crashes. */
export class RequestQuarantine {
    /** When each request that is held back is let through again, by digest. */
    private heldUntil: ReadonlyMap<string, Milliseconds> = new Map();
    /** Digests of requests that were running when an endpoint crashed, oldest first. */
    private readonly suspects = new Set<string>();
    private pendingCrashes: CrashReport["crashes"] = [];
    private pendingSound: readonly string[] = [];
    private sendReport: () => void = () => undefined;

    /** Sets what sends a report as soon as there is one; the report is taken by {@link takeReport}. */
    onReportDue(sendReport: () => void): void {
        this.sendReport = sendReport;
    }

    /** Records that an endpoint crashed while it was running a request. */
    recordCrash(digest: string, endpoint: string): void {
        this.suspects.delete(digest);
        this.suspects.add(digest);
        const [oldest] = this.suspects;
        if (oldest !== undefined && this.suspects.size > maximumSuspects) {
            this.suspects.delete(oldest);
        }
        if (this.pendingCrashes.length < maximumPendingCrashes) {
            this.pendingCrashes = [...this.pendingCrashes, { endpoint, digest }];
        }
        this.sendReport();
    }

    /** Records that an endpoint answered a request in full. */
    recordSound(digest: string): void {
        if (this.suspects.delete(digest)) {
            this.pendingSound = [...this.pendingSound, digest].slice(-maximumSuspects);
            this.sendReport();
        }
    }

    /** Replaces the list of requests that are held back. */
    applyHeld(held: readonly HeldRequest[], now: Milliseconds): void {
        this.heldUntil = new Map(held.map(({ digest, remaining }) => [digest, now + remaining]));
    }

    /** Time until a request is let through again; undefined if it is not held back. */
    remainingHold(digest: string, now: Milliseconds): Milliseconds | undefined {
        const until = this.heldUntil.get(digest);
        return until === undefined || until <= now ? undefined : until - now;
    }

    /** What has not been reported yet. */
    takeReport(): CrashReport {
        const report = { crashes: this.pendingCrashes, sound: this.pendingSound };
        this.pendingCrashes = [];
        this.pendingSound = [];
        return report;
    }
}

import type { Milliseconds } from "../../util/clock.js";
import { lowestTier } from "../../version/manifest.js";
import type { RequestClass } from "../../version/manifest.js";
import type { LogicalRequest } from "./arrivalProcess.js";
import type { PolicyMetrics } from "./policyMetrics.js";
import type { Scenario } from "./scenario.js";

/** Minimum number of logical requests of a team for its attainment to count in the lowest attainment of a team. */
const minimumTeamSampleSize = 20;

/** Counts of the logical requests of one class or team. */
interface RequestCounts {
    total: number;
    /** Number of requests completed within the target. */
    met: number;
    outputTokens: number;
}

/** Tracks the times when a class has waiting but no running requests. */
interface ServiceGap {
    running: number;
    waiting: number;
    unservedSince: Milliseconds | undefined;
    longest: Milliseconds;
}

/** Collects the metrics of one run. */
export class MetricsRecorder {
    private readonly countsByClass = new Map<string, RequestCounts>();
    private readonly countsByTeam = new Map<string, RequestCounts>();
    private readonly gaps = new Map<string, ServiceGap>();
    private readonly refusedByTier = new Array<number>(lowestTier + 1).fill(0);
    private tokensWithinTarget = 0;
    private generatedTokens = 0;
    private wastedTokens = 0;
    private attempts = 0;
    private logicalRequests = 0;
    private preemptions = 0;

    /** Records a logical request, once for all its attempts. */
    recordRequest(request: LogicalRequest): void {
        this.logicalRequests += 1;
        for (const counts of this.countsFor(request)) {
            counts.total += 1;
            counts.outputTokens += request.outputTokens;
        }
    }

    /** Records that an attempt was submitted to an entry. */
    recordAttempt(requestClass: RequestClass, now: Milliseconds): void {
        this.attempts += 1;
        const gap = this.serviceGapFor(requestClass);
        gap.waiting += 1;
        if (gap.running === 0) {
            gap.unservedSince ??= now;
        }
    }

    /** Records that an attempt was refused. */
    recordRefused(requestClass: RequestClass): void {
        this.refusedByTier[requestClass.tier] = (this.refusedByTier[requestClass.tier] ?? 0) + 1;
        this.serviceGapFor(requestClass).waiting -= 1;
    }

    /** Records that a caller abandoned a waiting attempt. */
    recordAbandonedWaiting(requestClass: RequestClass): void {
        this.serviceGapFor(requestClass).waiting -= 1;
    }

    /** Records that a request started to run. */
    recordStarted(requestClass: RequestClass, now: Milliseconds): void {
        const gap = this.serviceGapFor(requestClass);
        closeGap(gap, now);
        gap.running += 1;
        gap.waiting -= 1;
    }

    /** Records that a request stopped running. */
    recordStopped(requestClass: RequestClass, now: Milliseconds): void {
        const gap = this.serviceGapFor(requestClass);
        gap.running -= 1;
        if (gap.running === 0 && gap.waiting > 0) {
            gap.unservedSince = now;
        }
    }

    /**
     * Records that a running request was interrupted and waits again.
     *
     * @param repeatedTokens Cost of processing its context again, in output tokens.
     */
    recordPreempted(requestClass: RequestClass, repeatedTokens: number, now: Milliseconds): void {
        this.preemptions += 1;
        this.wastedTokens += repeatedTokens;
        this.generatedTokens += repeatedTokens;
        this.serviceGapFor(requestClass).waiting += 1;
        this.recordStopped(requestClass, now);
    }

    /** Records tokens generated for a response that was not delivered completely. */
    recordWasted(tokens: number): void {
        this.generatedTokens += tokens;
        this.wastedTokens += tokens;
    }

    /**
     * Records a complete response.
     *
     * @param attemptMetTarget Whether the target was met, measured from the start of the completed attempt.
     * @param requestMetTarget Whether the target was met, measured from the start of the first attempt.
     */
    recordCompleted(request: LogicalRequest, attemptMetTarget: boolean, requestMetTarget: boolean): void {
        this.generatedTokens += request.outputTokens;
        this.tokensWithinTarget += attemptMetTarget ? request.outputTokens : 0;
        if (requestMetTarget) {
            this.countsFor(request).forEach(counts => counts.met += 1);
        }
    }

    /** Returns the metrics at the end of the run. */
    summarize(scenario: Scenario, now: Milliseconds): PolicyMetrics {
        this.gaps.forEach(gap => {
            closeGap(gap, now);
        });
        return {
            attainment: mapValues(this.countsByClass, attainmentOf),
            goodput: this.tokensWithinTarget / (scenario.duration / 1_000),
            wastedShare: this.wastedTokens / Math.max(1, this.generatedTokens),
            worstTeam: this.lowestAttainment([...this.countsByTeam.keys()]),
            worstSmallTeam: this.lowestAttainment(scenario.smallTeams ?? this.teamsWithinFairShare(scenario)),
            refusedByTier: this.refusedByTier,
            preemptions: this.preemptions,
            longestSecondsWithoutService: mapValues(this.gaps, gap => gap.longest / 1_000),
            attemptsPerRequest: this.attempts / Math.max(1, this.logicalRequests),
        };
    }

    private teamsWithinFairShare(scenario: Scenario): readonly string[] {
        const fairShareTokens = (scenario.capacityTokensPerSecond * scenario.duration) / 1_000 / this.countsByTeam.size;
        return [...this.countsByTeam].flatMap(([team, counts]) => counts.outputTokens <= fairShareTokens ? [team] : []);
    }

    private lowestAttainment(teams: readonly string[]): number {
        const teamCounts = teams.flatMap(team => this.countsByTeam.get(team) ?? []);
        return Math.min(1, ...teamCounts.filter(counts => counts.total >= minimumTeamSampleSize).map(attainmentOf));
    }

    private countsFor(request: LogicalRequest): readonly RequestCounts[] {
        return [
            getOrCreateCounts(this.countsByClass, request.requestClass.name),
            getOrCreateCounts(this.countsByTeam, request.team),
        ];
    }

    private serviceGapFor(requestClass: RequestClass): ServiceGap {
        let gap = this.gaps.get(requestClass.name);
        if (gap === undefined) {
            gap = { running: 0, waiting: 0, unservedSince: undefined, longest: 0 };
            this.gaps.set(requestClass.name, gap);
        }
        return gap;
    }
}

function closeGap(gap: ServiceGap, now: Milliseconds): void {
    if (gap.unservedSince !== undefined) {
        gap.longest = Math.max(gap.longest, now - gap.unservedSince);
        gap.unservedSince = undefined;
    }
}

function getOrCreateCounts(countsByName: Map<string, RequestCounts>, name: string): RequestCounts {
    let counts = countsByName.get(name);
    if (counts === undefined) {
        counts = { total: 0, met: 0, outputTokens: 0 };
        countsByName.set(name, counts);
    }
    return counts;
}

function attainmentOf(counts: RequestCounts): number {
    return counts.met / counts.total;
}

function mapValues<T>(
    values: ReadonlyMap<string, T>,
    transform: (value: T) => number,
): Readonly<Record<string, number>> {
    return Object.fromEntries([...values].map(([name, value]) => [name, transform(value)]));
}

import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { Milliseconds } from "../../util/clock.js";
import { ExponentialRateEstimator } from "../../util/exponentialRateEstimator.js";
import { mixBits } from "../routing/hashText.js";

/** Averaging time of the work rates: longer than a stream, shorter than a burst. */
const workAveragingTime: Milliseconds = 4_000;

/**
 * Fraction of the smallest event gap target that the prefill of a prompt may take without delaying concurrent streams.
 */
const tolerableGapFraction = 0.4;

/** Work added to each group so that shares are defined before any work was measured, in milliseconds per second. */
const baseWorkPerGroup = 1;

/**
 * Weight of the work of long prompts when engines are assigned. The prefill of a token takes longer the more tokens
 * precede it, and hardly any stream finishes in time on an engine that is busy with prefills all the time.
 */
const longPromptWeight = 1.6;

/** Maximum age of the total work of all entries; after that, this entry's own work is used instead. */
const totalWorkMaximumAge: Milliseconds = 3_000;

/** Difference in engines above which the partition is resized: moving an engine disturbs the calls of both groups. */
const resizeThreshold = 0.8;

/** Engine time used by the calls of each group, in milliseconds per second. */
export interface GroupWork {
    readonly long: number;
    readonly other: number;
}

/** Group of a service's engines to which a call belongs. */
export type EngineGroup = "longPrompts" | "otherCalls";

/**
 * Partitions the engines of a service between long prompts and all other calls.
 *
 * While an engine prefills a long prompt, every event of its concurrent streams is delayed. The engines are therefore
 * divided into two groups in proportion to the work of both kinds of calls. All entries rank the engines identically
 * and see similar mixes of calls, so that they arrive at the same partition without coordination.
 */
export class LongPromptPartition {
    private readonly longWork = new ExponentialRateEstimator(workAveragingTime);
    private readonly otherWork = new ExponentialRateEstimator(workAveragingTime);
    private totalWork: GroupWork = { long: 0, other: 0 };
    private totalWorkAt: Milliseconds = -Infinity;
    private longPromptEngines = 1;
    private partitionedEngines = 0;

    /** The group of a call, by the time that the prefill of its prompt takes. */
    groupOf(prefillTime: Milliseconds, minimumEventGapTarget: Milliseconds | undefined): EngineGroup {
        return minimumEventGapTarget !== undefined && prefillTime > minimumEventGapTarget * tolerableGapFraction
            ? "longPrompts"
            : "otherCalls";
    }

    /**
     * Records the work of a call.
     *
     * @param work Engine time that the call takes if it runs alone, in milliseconds.
     */
    recordWork(group: EngineGroup, work: Milliseconds, now: Milliseconds): void {
        const rate = group === "longPrompts" ? this.longWork : this.otherWork;
        rate.add(work, now);
    }

    /** Engine time used by this entry's calls. */
    ownWork(now: Milliseconds): GroupWork {
        return { long: Math.round(this.longWork.perSecond(now)), other: Math.round(this.otherWork.perSecond(now)) };
    }

    /** Records the engine time used by the calls of all entries. */
    recordTotalWork(work: GroupWork, now: Milliseconds): void {
        this.totalWork = work;
        this.totalWorkAt = now;
    }

    /**
     * The engines of a group. With two or more engines each group has at least one; a single engine belongs to both.
     */
    enginesOf(
        group: EngineGroup,
        endpoints: readonly HostedEndpoint[],
        now: Milliseconds,
    ): ReadonlySet<HostedEndpoint> {
        const count = this.countLongPromptEngines(endpoints.length, now);
        const ranked = [...endpoints].sort((a, b) => sharedRank(a) - sharedRank(b));
        const isDivided = endpoints.length > 1;
        return new Set(group === "longPrompts" || !isDivided ? ranked.slice(0, count) : ranked.slice(count));
    }

    /**
     * Number of engines for long prompts; changes only if the work has clearly shifted or engines were added or
     * removed.
     */
    private countLongPromptEngines(engineCount: number, now: Milliseconds): number {
        const isTotalRecent = now - this.totalWorkAt < totalWorkMaximumAge;
        const work = isTotalRecent ? this.totalWork : this.ownWork(now);
        const weightedLong = work.long * longPromptWeight;
        const share = (weightedLong + baseWorkPerGroup) / (weightedLong + work.other + 2 * baseWorkPerGroup);
        const target = Math.min(Math.max(engineCount * share, 1), Math.max(engineCount - 1, 1));
        if (Math.abs(target - this.longPromptEngines) > resizeThreshold || this.partitionedEngines !== engineCount) {
            this.longPromptEngines = Math.round(target);
            this.partitionedEngines = engineCount;
        }
        return this.longPromptEngines;
    }
}

/** A hash rank that is the same at all entries and spreads each group over the failure domains. */
function sharedRank(endpoint: HostedEndpoint): number {
    return mixBits(endpoint.idHash);
}

import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { Milliseconds } from "../../util/clock.js";
import { DecayingRate } from "../../util/decayingRate.js";
import { mixBits } from "../routing/textHash.js";

/** Averaging time of the work rates: longer than a stream, shorter than a burst. */
const comparedSpan: Milliseconds = 4_000;

/**
 * Fraction of the smallest event gap target that the prefill of a prompt may take without delaying concurrent streams.
 */
const tolerablePauseFraction = 0.4;

/** Work added to each group so that shares are defined before any was measured, in milliseconds per second. */
const assumedWork = 1;

/**
 * Weight of the work of long prompts when engines are assigned. The prefill of a token takes longer the more tokens
 * precede it, and hardly any stream finishes in time on an engine that is busy with prefills all the time.
 */
const longPromptWeight = 1.6;

/** Maximum age of the total work of all entries; after that, this entry's own work is used instead. */
const fleetWorkMemory: Milliseconds = 3_000;

/** Difference in engines above which the partition is resized: moving an engine disturbs the calls of both groups. */
const clearDifference = 0.8;

/** Engine time used by the calls of each group, in milliseconds per second. */
export interface GroupWork {
    readonly long: number;
    readonly other: number;
}

/** Group of a service's engines to which a call belongs. */
export type EngineGroup = "longPrompts" | "shortPauses";

/**
 * Partitions the engines of a service between long prompts and all other calls.
 *
 * While an engine prefills a long prompt, every event of its concurrent streams is delayed. The engines are therefore
 * divided into two groups in proportion to the work of both kinds of calls. All entries rank the engines identically
 * and see similar mixes of calls, so that they arrive at the same partition without coordination.
 */
export class LongPromptPartition {
    private readonly longWork = new DecayingRate(comparedSpan);
    private readonly otherWork = new DecayingRate(comparedSpan);
    private fleetWork: GroupWork = { long: 0, other: 0 };
    private fleetWorkAt: Milliseconds = -Infinity;
    private count = 1;
    private engines = 0;

    /** The group of a call, by the time that the prefill of its prompt takes. */
    groupOf(readingTime: Milliseconds, shortestPause: Milliseconds | undefined): EngineGroup {
        return shortestPause !== undefined && readingTime > shortestPause * tolerablePauseFraction
            ? "longPrompts"
            : "shortPauses";
    }

    /**
     * Records the work of a call.
     *
     * @param work Engine time that the call takes if it runs alone, in milliseconds.
     */
    note(group: EngineGroup, work: Milliseconds, now: Milliseconds): void {
        const rate = group === "longPrompts" ? this.longWork : this.otherWork;
        rate.add(work, now);
    }

    /** Engine time used by this entry's calls. */
    ownWork(now: Milliseconds): GroupWork {
        return { long: Math.round(this.longWork.perSecond(now)), other: Math.round(this.otherWork.perSecond(now)) };
    }

    /** Records the engine time used by the calls of all entries. */
    noteFleetWork(work: GroupWork, now: Milliseconds): void {
        this.fleetWork = work;
        this.fleetWorkAt = now;
    }

    /**
     * The engines of a group. With two or more engines each group has at least one; a single engine belongs to both.
     */
    members(
        group: EngineGroup,
        endpoints: readonly HostedEndpoint[],
        now: Milliseconds,
    ): ReadonlySet<HostedEndpoint> {
        const count = this.longCount(endpoints.length, now);
        const ranked = [...endpoints].sort((a, b) => rankOf(a) - rankOf(b));
        const isDivided = endpoints.length > 1;
        return new Set(group === "longPrompts" || !isDivided ? ranked.slice(0, count) : ranked.slice(count));
    }

    /**
     * Number of engines for long prompts; changes only if the work has clearly shifted or engines were added or
     * removed.
     */
    private longCount(engines: number, now: Milliseconds): number {
        const isFleetKnown = now - this.fleetWorkAt < fleetWorkMemory;
        const work = isFleetKnown ? this.fleetWork : this.ownWork(now);
        const long = work.long * longPromptWeight;
        const share = (long + assumedWork) / (long + work.other + 2 * assumedWork);
        const exact = Math.min(Math.max(engines * share, 1), Math.max(engines - 1, 1));
        if (Math.abs(exact - this.count) > clearDifference || this.engines !== engines) {
            this.count = Math.round(exact);
            this.engines = engines;
        }
        return this.count;
    }
}

/** A hash rank that is the same at all entries and spreads each group over the failure domains. */
function rankOf(endpoint: HostedEndpoint): number {
    return mixBits(endpoint.idHash);
}

import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { Milliseconds } from "../../util/clock.js";
import { DecayingRate } from "../../util/decayingRate.js";
import { mixBits, textHash } from "../routing/textHash.js";

/** Span over which the kinds of work are compared: longer than a stream, shorter than a burst. */
const comparedSpan: Milliseconds = 4_000;

/** Part of the shortest allowed pause that reading a prompt may take without disturbing the streams beside it. */
const tolerablePauseFraction = 0.4;

/** Work of each kind that is assumed before any was seen, in milliseconds a second. */
const assumedWork = 1;

/** Which part of a service's engines takes a call. */
export type EngineGroup = "longPrompts" | "shortPauses";

/**
 * Answers the load pattern "long prompts beside streams with short pauses".
 *
 * An engine that reads a long prompt delays each event of all streams beside it. The engines of a service are therefore
 * divided in two groups, in proportion to the work that long prompts and all other calls bring. All entries rank the
 * engines alike and see alike mixes of calls, so that they divide them alike without telling each other.
 */
export class LongPromptPartition {
    private readonly longWork = new DecayingRate(comparedSpan);
    private readonly otherWork = new DecayingRate(comparedSpan);

    /** The group that a call belongs to, by the time that an engine reads its prompt. */
    groupOf(readingTime: Milliseconds, shortestPause: Milliseconds | undefined): EngineGroup {
        return shortestPause !== undefined && readingTime > shortestPause * tolerablePauseFraction
            ? "longPrompts"
            : "shortPauses";
    }

    /**
     * Notes a call's work.
     *
     * @param work Time that an engine spends on the call alone, in milliseconds.
     */
    note(group: EngineGroup, work: Milliseconds, now: Milliseconds): void {
        const rate = group === "longPrompts" ? this.longWork : this.otherWork;
        rate.add(work, now);
    }

    /** Engine time that all noted calls take, in milliseconds a second. */
    workPerSecond(now: Milliseconds): number {
        return this.longWork.perSecond(now) + this.otherWork.perSecond(now);
    }

    /** The engines of a group; each group has one at least where there are two engines. */
    members(
        group: EngineGroup,
        endpoints: readonly HostedEndpoint[],
        now: Milliseconds,
    ): ReadonlySet<HostedEndpoint> {
        const long = this.longWork.perSecond(now) + assumedWork;
        const other = this.otherWork.perSecond(now) + assumedWork;
        const wanted = Math.round(endpoints.length * long / (long + other));
        const count = Math.min(Math.max(wanted, 1), Math.max(endpoints.length - 1, 1));
        const ranked = [...endpoints].sort((a, b) => rankOf(a) - rankOf(b));
        const isDivided = endpoints.length > 1;
        return new Set(group === "longPrompts" || !isDivided ? ranked.slice(0, count) : ranked.slice(count));
    }
}

/** A rank that all entries share and that spreads each group over the failure domains. */
function rankOf(endpoint: HostedEndpoint): number {
    return mixBits(textHash(endpoint.id));
}

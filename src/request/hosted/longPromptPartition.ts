import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { Milliseconds } from "../../util/clock.js";
import { DecayingRate } from "../../util/decayingRate.js";
import { mixBits } from "../routing/hashText.js";

/** Span over which the kinds of work are compared: longer than a stream, shorter than a burst. */
const comparedSpan: Milliseconds = 4_000;

/** Part of the shortest allowed pause that reading a prompt may take without disturbing the streams beside it. */
const tolerablePauseFraction = 0.4;

/** Work of each kind that is assumed before any was seen, in milliseconds a second. */
const assumedWork = 1;

/**
 * Engines that long prompts get in relation to their share of the work: with each token that precedes it a token takes
 * longer to read, and beside an engine that does nothing but read hardly any stream comes to its end in time.
 */
const longPromptWeight = 1.6;

/** How long the work of all entries is taken to hold; without it the own calls decide. */
const fleetWorkMemory: Milliseconds = 3_000;

/** Engines by which the wanted number must differ from the present one: an engine that moves disturbs both groups. */
const clearDifference = 0.8;

/** Engine time that calls take, in milliseconds a second. */
export interface GroupWork {
    readonly long: number;
    readonly other: number;
}

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
    private fleetWork: GroupWork = { long: 0, other: 0 };
    private fleetWorkAt: Milliseconds = -Infinity;
    private count = 1;
    private engines = 0;

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

    /** Engine time that the noted calls take. */
    ownWork(now: Milliseconds): GroupWork {
        return { long: Math.round(this.longWork.perSecond(now)), other: Math.round(this.otherWork.perSecond(now)) };
    }

    /** Takes the engine time that the calls of all entries take. */
    noteFleetWork(work: GroupWork, now: Milliseconds): void {
        this.fleetWork = work;
        this.fleetWorkAt = now;
    }

    /** The engines of a group; each group has one at least where there are two engines. */
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

    /** Number of engines for long prompts; it follows the work only when that has clearly moved on. */
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

/** A rank that all entries share and that spreads each group over the failure domains. */
function rankOf(endpoint: HostedEndpoint): number {
    return mixBits(endpoint.idHash);
}

import { hashText } from "../../../request/routing/hashText.js";
import type { Milliseconds } from "../../../util/clock.js";

/** Up to so many control processes an entry links to all; more links would cost the leader more than they help. */
const linkAllUpTo = 5;

/** Links of an entry where there are more control processes: the leader's, and two for when that one is lost. */
const linkedControls = 3;

/**
 * Age of the confirmation above which an entry links to all: those that it has chosen may be on the small side of a
 * partition. The rest of the time until a configuration must be in force everywhere covers the new links.
 */
const doubtfulAge: Milliseconds = 1_500;

/** Shortest pause between two beats on a link. */
const shortestBeatInterval: Milliseconds = 400;

/** Longest pause between two beats: callers must leave a lost entry within seconds. */
const longestBeatInterval: Milliseconds = 1_200;

/** Beats that the leader takes in a second from all entries, so that its load does not grow with their number. */
const beatsPerSecond = 250;

/** What an entry knows of the control processes. */
export interface KnownControls {
    readonly hosts: readonly string[];
    /** Undefined while none is known to lead. */
    readonly leaderHost: string | undefined;
    /** Those that did not answer lately. */
    readonly unreachable: ReadonlySet<string>;
    /** Time since a quorum last confirmed the configuration. */
    readonly permitAge: Milliseconds;
}

/**
 * The control processes that an entry links to, so that the links of an installation grow with its entries alone.
 *
 * Entries spread over the control processes by rendezvous hashing (Thaler and Ravishankar, 1998); each one also links to
 * the leader, which adds up what entries tell.
 */
export function chooseControls(entry: string, known: KnownControls): readonly string[] {
    const { hosts, leaderHost, unreachable, permitAge } = known;
    if (hosts.length <= linkAllUpTo || permitAge > doubtfulAge) {
        return hosts;
    }
    const preference = (host: string): number =>
        (host === leaderHost ? 2 : 0) + (unreachable.has(host) ? -1 : 0) + hashText(`${entry} ${host}`) / 2 ** 32;
    return [...hosts].sort((a, b) => preference(b) - preference(a)).slice(0, linkedControls);
}

/**
 * Hosts of the group's members after a control process has named them; one that is not in the group yet names none.
 *
 * @param known Hosts that were named before.
 */
export function membersAfter(known: readonly string[], named: readonly string[]): readonly string[] {
    return named.length === 0 ? known : named;
}

/** Pause between two beats of an entry, by the number of all entries. */
export function beatIntervalFor(entries: number): Milliseconds {
    return Math.min(Math.max(entries * 1_000 / beatsPerSecond, shortestBeatInterval), longestBeatInterval);
}

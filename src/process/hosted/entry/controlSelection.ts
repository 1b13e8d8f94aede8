import { hashText } from "../../../request/routing/hashText.js";
import type { Milliseconds } from "../../../util/clock.js";

/**
 * Maximum number of control processes up to which an entry links to all of them; more links would load the leader
 * without much benefit.
 */
const maximumFullyLinkedControls = 5;

/** Number of links of an entry if there are more control processes: the leader, and two others in case it fails. */
const selectedControlCount = 3;

/**
 * Age of the newest confirmation above which an entry links to all control processes: the selected ones may be in the
 * minority of a network partition. The time that is then left until a configuration must be in force at all entries
 * suffices to open the new links.
 */
const stalePermitAge: Milliseconds = 1_500;

/** Minimum interval between heartbeats on a link. */
const minimumHeartbeatInterval: Milliseconds = 400;

/** Maximum interval between heartbeats: callers must stop using a failed entry within seconds. */
const maximumHeartbeatInterval: Milliseconds = 1_200;

/**
 * Target rate of heartbeats that the leader receives from all entries, so that its load does not grow with their
 * number.
 */
const leaderHeartbeatsPerSecond = 250;

/** What an entry knows about the control processes. */
export interface KnownControls {
    readonly hosts: readonly string[];
    /** Undefined if no leader is known. */
    readonly leaderHost: string | undefined;
    /** Hosts whose link has recently failed. */
    readonly unreachable: ReadonlySet<string>;
    /** Time since the newest quorum confirmation of the configuration was requested. */
    readonly permitAge: Milliseconds;
}

/**
 * Selects the control processes that an entry links to, so that the number of links grows only with the number of
 * entries.
 *
 * Entries are distributed over the control processes by rendezvous hashing (Thaler and Ravishankar, 1998). Each entry
 * also links to the leader, which aggregates what the entries report.
 */
export function selectControls(entry: string, known: KnownControls): readonly string[] {
    const { hosts, leaderHost, unreachable, permitAge } = known;
    if (hosts.length <= maximumFullyLinkedControls || permitAge > stalePermitAge) {
        return hosts;
    }
    const preference = (host: string): number =>
        (host === leaderHost ? 2 : 0) + (unreachable.has(host) ? -1 : 0) + hashText(`${entry} ${host}`) / 2 ** 32;
    return [...hosts].sort((a, b) => preference(b) - preference(a)).slice(0, selectedControlCount);
}

/**
 * Updates the known hosts of the group's members; a control process that has not joined the group yet reports none.
 *
 * @param known Hosts that were reported before.
 */
export function updateMembers(known: readonly string[], reported: readonly string[]): readonly string[] {
    return reported.length === 0 ? known : reported;
}

/** Interval between heartbeats of an entry, for a number of entries in the installation. */
export function heartbeatIntervalFor(entries: number): Milliseconds {
    return Math.min(
        Math.max(entries * 1_000 / leaderHeartbeatsPerSecond, minimumHeartbeatInterval),
        maximumHeartbeatInterval,
    );
}

import type { PeerResponseOf } from "../../connection/peerMessage.js";
import type { PeerNetwork } from "../../connection/peerNetwork.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Clock } from "../../util/clock.js";
import { isOutdated } from "./acknowledgedPositions.js";
import type { Member } from "./membership.js";
import type { Replica } from "./replica.js";

/**
 * Consecutive checks without a leader, one per maximum election timeout, after which a member requests to join again.
 */
const leaderlessChecksBeforeRejoin = 2;

/** Number of heartbeat intervals between two requests to join again. */
const rejoinHeartbeats = 3;

/** Dependencies and settings of a {@link JoinTask}. */
export interface JoinTaskOptions {
    readonly replica: Replica;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    /** Address at which peers reach this member. */
    readonly address: string;
    /** Address at which operators reach this member. */
    readonly operatorAddress: string;
    /** Addresses of all control processes that the settings name, including this one. */
    readonly expectedAddresses: readonly string[];
    /** Whether this member may form a new group; true by default. */
    readonly mayFormGroup?: boolean;
}

/** A peer's response to a `describe` request. */
interface PeerDescription {
    readonly address: string;
    readonly response: PeerResponseOf<"describe">;
}

/**
 * Joins a member to its group after each start, or forms the group on the first one.
 *
 * A member with log entries asks the others whether its disk is older than what it acknowledged. A member without
 * entries requests to join the existing group. If all expected members respond, none of them has entries and all expect
 * the same addresses, the member with the lowest address forms the group.
 */
export class JoinTask {
    constructor(private readonly options: JoinTaskOptions) {}

    /** Whether the member has log entries, and therefore knows the membership of its group. */
    get formed(): boolean {
        return this.options.replica.log.lastPosition > 0;
    }

    /**
     * Asks the other members for the acknowledged position of this one, and halts it if its disk is outdated.
     *
     * Returns when all have responded or when the member may vote again, whichever comes first.
     */
    async checkDiskIsCurrent(signal: AbortSignal): Promise<void> {
        const { replica, clock } = this.options;
        const others = replica.membership.members.filter(member => member.memberId !== replica.memberId);
        let pendingAddresses = others.map(member => member.address);
        while (pendingAddresses.length > 0 && clock.now() < replica.votesRefusedUntil && !signal.aborted) {
            const descriptions = await this.describePeers(pendingAddresses);
            this.haltIfOutdated(descriptions);
            pendingAddresses = pendingAddresses.filter(address =>
                !descriptions.some(description => description.address === address)
            );
            if (pendingAddresses.length > 0) {
                await clock.sleep(replica.timing.heartbeatInterval, signal);
            }
        }
    }

    /**
     * Joins or forms the group, then rejoins it whenever needed; returns when the signal is aborted or the member
     * halts.
     */
    async run(signal: AbortSignal): Promise<void> {
        const { replica, clock, address, expectedAddresses } = this.options;
        const others = expectedAddresses.filter(other => other !== address);
        while (!signal.aborted && !this.formed && replica.halted === undefined) {
            const descriptions = await this.describePeers(others);
            const formedPeers = descriptions.filter(({ response }) => response.formed);
            if (formedPeers.length > 0) {
                await this.requestJoin(formedPeers);
            }
            else if (this.canForm(descriptions, others.length)) {
                await this.formGroup(descriptions);
            }
            await clock.sleep(replica.timing.heartbeatInterval * 2, signal);
        }
        await this.rejoinWhenLeaderless(signal);
    }

    /**
     * Requests to join again while there is no contact with a leader: the member may have been removed from the group
     * while it was unreachable.
     *
     * A leader whose membership still includes this member ignores the request.
     */
    private async rejoinWhenLeaderless(signal: AbortSignal): Promise<void> {
        const { replica, clock, address, expectedAddresses } = this.options;
        const { maximumElectionTimeout, heartbeatInterval } = replica.timing;
        let leaderlessChecks = 0;
        while (!signal.aborted && replica.halted === undefined) {
            const isRejoining = leaderlessChecks >= leaderlessChecksBeforeRejoin;
            await clock.sleep(isRejoining ? rejoinHeartbeats * heartbeatInterval : maximumElectionTimeout, signal);
            // The election deadline cannot be used here: each election attempt postpones it, even an unsuccessful one.
            const hasLeader = replica.role === "leader" || clock.now() < replica.votesRefusedUntil;
            leaderlessChecks = hasLeader ? 0 : leaderlessChecks + 1;
            if (leaderlessChecks >= leaderlessChecksBeforeRejoin) {
                const memberAddresses = replica.membership.members.map(member => member.address);
                const others = [...new Set([...memberAddresses, ...expectedAddresses])].filter(other =>
                    other !== address
                );
                // Peers that do not respond must not delay the request to the leader that another one names.
                await Promise.all(others.map(async other => {
                    const descriptions = await this.describePeers([other]);
                    await this.requestJoin(descriptions.filter(({ response }) => response.formed));
                }));
            }
        }
    }

    private canForm(descriptions: readonly PeerDescription[], expectedCount: number): boolean {
        return this.options.mayFormGroup !== false
            && descriptions.length === expectedCount
            && this.hasLowestAddress()
            && this.allExpectSameAddresses(descriptions);
    }

    private haltIfOutdated(descriptions: readonly PeerDescription[]): void {
        const { replica } = this.options;
        const { term } = replica;
        const { lastPosition } = replica.log;
        for (const { response: { acknowledged } } of descriptions) {
            if (acknowledged !== undefined && isOutdated(term, lastPosition, acknowledged)) {
                const { memberId } = replica;
                const data = { memberId, acknowledged: acknowledged.position, now: lastPosition };
                replica.halt(failure("logFolderOutdated", data));
            }
        }
    }

    /** Whether the settings of all members name the same addresses; with different ones two groups could form. */
    private allExpectSameAddresses(descriptions: readonly PeerDescription[]): boolean {
        const expected = [...this.options.expectedAddresses].sort().join(" ");
        return descriptions.every(({ response }) => [...response.expectedAddresses].sort().join(" ") === expected);
    }

    private hasLowestAddress(): boolean {
        return [...this.options.expectedAddresses].sort()[0] === this.options.address;
    }

    private async describePeers(addresses: readonly string[]): Promise<readonly PeerDescription[]> {
        const { replica, network } = this.options;
        const pendingDescriptions = addresses.map(async address => {
            const request = { kind: "describe" as const, ...replica.envelope("") };
            const response = await network.request(address, request, replica.timing.minimumElectionTimeout);
            return response?.kind === "describe" ? [{ address, response }] : [];
        });
        return (await Promise.all(pendingDescriptions)).flat();
    }

    private async requestJoin(formedPeers: readonly PeerDescription[]): Promise<void> {
        const { replica, network, address, operatorAddress } = this.options;
        const leaders = new Set(formedPeers.flatMap(({ response }) => response.leaderAddress ?? []));
        for (const leader of leaders) {
            if (leader === address) {
                continue;
            }
            const request = { kind: "join" as const, ...replica.envelope(""), address, operatorAddress };
            await network.request(leader, request, replica.timing.minimumElectionTimeout);
        }
    }

    private async formGroup(descriptions: readonly PeerDescription[]): Promise<void> {
        const { replica, address, operatorAddress } = this.options;
        const others = descriptions.map(({ address: other, response }): Member => ({
            memberId: response.memberId,
            address: other,
            operatorAddress: response.operatorAddress,
            role: "voter",
        }));
        const self: Member = { memberId: replica.memberId, address, operatorAddress, role: "voter" };
        const membership = { members: [self, ...others] };
        await replica.storageQueue.run(async () => {
            if (this.formed) {
                return;
            }
            const stored = await replica.log.append([{ kind: "membership", position: 1, term: 0, membership }]);
            if (stored.err) {
                replica.handleStorageFailure(stored.val);
                return;
            }
            const members = membership.members.map(member => member.memberId);
            replica.events.write("groupFormed", { group: replica.group, members });
        });
    }
}

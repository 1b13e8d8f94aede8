import type { PeerResponseOf } from "../../connection/peerMessage.js";
import type { PeerNetwork } from "../../connection/peerNetwork.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Clock } from "../../util/clock.js";
import { isOutdated } from "./acknowledgedPositions.js";
import type { Member } from "./membership.js";
import type { Replica } from "./replica.js";

/** Looks in a row, one in each longest election timeout, without a leader after which a member asks to be admitted again. */
const looksUntilRejoin = 2;

/** What a member with an empty log needs to become part of a group. */
export interface JoinTaskParts {
    readonly replica: Replica;
    readonly network: PeerNetwork;
    readonly clock: Clock;
    /** This member's address for peers. */
    readonly address: string;
    /** This member's address for operators. */
    readonly operatorAddress: string;
    /** Addresses that the settings give to control processes, this one's included. */
    readonly expectedAddresses: readonly string[];
    readonly mayForm?: boolean;
}

/** What another member said about itself. */
interface Description {
    readonly address: string;
    readonly response: PeerResponseOf<"describe">;
}

/**
 * Brings a member into its group after a start.
 *
 * One with entries asks the others whether its disk is older than what it acknowledged. One without entries asks to be
 * admitted to the group that exists; where all expected members are present, none has entries and all name the
 * same members, the one with the lowest address forms the group.
 */
export class JoinTask {
    constructor(private readonly parts: JoinTaskParts) {}

    /** Whether the member has entries, and with them members to talk to. */
    get formed(): boolean {
        return this.parts.replica.log.lastPosition > 0;
    }

    /**
     * Asks the other members what they know of this one, and halts it if its disk is outdated.
     *
     * Returns when all have answered, or when the member may vote again, whichever is first.
     */
    async checkOutdated(signal: AbortSignal): Promise<void> {
        const { replica, clock } = this.parts;
        const others = replica.membership.members.filter(member => member.memberId !== replica.memberId);
        let unheard = others.map(member => member.address);
        while (unheard.length > 0 && clock.now() < replica.promiseUntil && !signal.aborted) {
            const descriptions = await this.describe(unheard);
            this.haltIfOutdated(descriptions);
            unheard = unheard.filter(address => !descriptions.some(description => description.address === address));
            if (unheard.length > 0) {
                await clock.sleep(replica.timing.heartbeatInterval, signal);
            }
        }
    }

    /** Joins or forms the group; returns when entries have arrived or the signal ends it. */
    async run(signal: AbortSignal): Promise<void> {
        const { replica, clock, address, expectedAddresses } = this.parts;
        const others = expectedAddresses.filter(other => other !== address);
        while (!signal.aborted && !this.formed && replica.halted === undefined) {
            const descriptions = await this.describe(others);
            const formed = descriptions.filter(({ response }) => response.formed);
            if (formed.length > 0) {
                await this.askToJoin(formed);
            }
            else if (this.mayForm(descriptions, others.length)) {
                await this.form(descriptions);
            }
            await clock.sleep(replica.timing.heartbeatInterval * 2, signal);
        }
        await this.keepMembership(signal);
    }

    /**
     * Asks to be admitted again while no leader is heard: the member may have been retired while it could not be reached.
     *
     * A leader that still counts it as a member ignores the request.
     */
    private async keepMembership(signal: AbortSignal): Promise<void> {
        const { replica, clock, address, expectedAddresses } = this.parts;
        let unheardLooks = 0;
        while (!signal.aborted && replica.halted === undefined) {
            await clock.sleep(replica.timing.electionTimeoutHighest, signal);
            // Not the election deadline: each attempt that the others refuse moves it.
            const isHeard = replica.role === "leader" || clock.now() < replica.promiseUntil;
            unheardLooks = isHeard ? 0 : unheardLooks + 1;
            if (unheardLooks >= looksUntilRejoin) {
                const known = replica.membership.members.map(member => member.address);
                const others = [...new Set([...known, ...expectedAddresses])].filter(other => other !== address);
                await this.askToJoin((await this.describe(others)).filter(({ response }) => response.formed));
            }
        }
    }

    private mayForm(descriptions: readonly Description[], expected: number): boolean {
        return this.parts.mayForm !== false
            && descriptions.length === expected
            && this.isLowest()
            && this.agreesWithAll(descriptions);
    }

    private haltIfOutdated(descriptions: readonly Description[]): void {
        const { replica } = this.parts;
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

    /** Whether all settings name the same control processes; different ones could form two groups. */
    private agreesWithAll(descriptions: readonly Description[]): boolean {
        const expected = [...this.parts.expectedAddresses].sort().join(" ");
        return descriptions.every(({ response }) => [...response.expectedAddresses].sort().join(" ") === expected);
    }

    private isLowest(): boolean {
        return [...this.parts.expectedAddresses].sort()[0] === this.parts.address;
    }

    private async describe(addresses: readonly string[]): Promise<readonly Description[]> {
        const { replica, network } = this.parts;
        const asked = addresses.map(async address => {
            const request = { kind: "describe" as const, ...replica.envelope("") };
            const response = await network.request(address, request, replica.timing.electionTimeoutLowest);
            return response?.kind === "describe" ? [{ address, response }] : [];
        });
        return (await Promise.all(asked)).flat();
    }

    private async askToJoin(formed: readonly Description[]): Promise<void> {
        const { replica, network, address, operatorAddress } = this.parts;
        const leaders = new Set(formed.flatMap(({ response }) => response.leaderAddress ?? []));
        for (const leader of leaders) {
            if (leader === address) {
                continue;
            }
            const request = { kind: "join" as const, ...replica.envelope(""), address, operatorAddress };
            await network.request(leader, request, replica.timing.electionTimeoutLowest);
        }
    }

    private async form(descriptions: readonly Description[]): Promise<void> {
        const { replica, address, operatorAddress } = this.parts;
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
                replica.noteStorageFault(stored.val);
                return;
            }
            const members = membership.members.map(member => member.memberId);
            replica.events.write("groupFormed", { group: replica.group, members });
        });
    }
}

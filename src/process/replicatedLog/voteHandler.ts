import type { PeerRequestOf, PeerResponse } from "../../connection/peerMessage.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Replica } from "./replica.js";

/** Handles vote requests (Raft §5.2 and §5.4.1) and pre-vote requests (Raft dissertation §9.6). */
export class VoteHandler {
    constructor(private readonly replica: Replica) {}

    /** Responds whether this member would vote for the candidate, without changing any state. */
    handlePreVote(request: PeerRequestOf<"preVote">, now: Milliseconds): PeerResponse {
        const granted = request.term > this.replica.term && !this.refusesCandidates(now) && this.isUpToDate(request);
        return { kind: "vote", term: this.replica.term, granted };
    }

    /** Grants or refuses the vote of a term; a granted vote is durable before the response. */
    async handleVote(request: PeerRequestOf<"vote">, now: Milliseconds): Promise<PeerResponse> {
        return this.replica.storageQueue.run(async () => {
            const granted = await this.decideVote(request, now);
            return { kind: "vote", term: this.replica.term, granted };
        });
    }

    /**
     * Whether a leader may hold a lease that relies on this member: then neither its vote nor its term may change.
     *
     * Leadership transfers are exempt, because the leader has released its lease before the transfer.
     */
    private refusesCandidates(now: Milliseconds): boolean {
        return now < this.replica.votesRefusedUntil || this.replica.leadership?.holdsLease(now, 0) === true;
    }

    private async decideVote(request: PeerRequestOf<"vote">, now: Milliseconds): Promise<boolean> {
        const { replica } = this;
        if (replica.halted !== undefined || (this.refusesCandidates(now) && !request.transfer)) {
            return false;
        }
        replica.raiseTerm(request.term, "a candidate has a newer term");
        if (request.term < replica.term) {
            return false;
        }
        if (replica.votedFor === request.from) {
            return true;
        }
        if (replica.votedFor !== undefined || replica.leaderId !== undefined || !this.isUpToDate(request)) {
            return false;
        }
        replica.resetElectionTimeout(now);
        return replica.saveVote(request.from);
    }

    private isUpToDate(request: PeerRequestOf<"vote"> | PeerRequestOf<"preVote">): boolean {
        const { log } = this.replica;
        return request.lastTerm > log.lastTerm
            || (request.lastTerm === log.lastTerm && request.lastPosition >= log.lastPosition);
    }
}

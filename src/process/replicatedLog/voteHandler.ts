import type { PeerRequestOf, PeerResponse } from "../../connection/peerMessage.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Replica } from "./replica.js";

/** Answers candidates (Raft §5.2 and §5.4.1; pre-vote: Raft dissertation §9.6). */
export class VoteHandler {
    constructor(private readonly replica: Replica) {}

    /** Says whether this member would vote for the candidate, without any effect. */
    handlePreVote(request: PeerRequestOf<"preVote">, now: Milliseconds): PeerResponse {
        const granted = request.term > this.replica.term && !this.isBound(now) && this.isUpToDate(request);
        return { kind: "vote", term: this.replica.term, granted };
    }

    /** Gives or refuses the vote of a term; a given vote is durable. */
    async handleVote(request: PeerRequestOf<"vote">, now: Milliseconds): Promise<PeerResponse> {
        return this.replica.storageQueue.run(async () => {
            const granted = await this.vote(request, now);
            return { kind: "vote", term: this.replica.term, granted };
        });
    }

    /**
     * Whether a promise to a leader stands: then neither vote nor term changes.
     *
     * A leader that hands over its lead has given up its lease, so a transfer is exempt.
     */
    private isBound(now: Milliseconds): boolean {
        return now < this.replica.promiseUntil || this.replica.leadership?.holdsLease(now, 0) === true;
    }

    private async vote(request: PeerRequestOf<"vote">, now: Milliseconds): Promise<boolean> {
        const { replica } = this;
        if (replica.halted !== undefined || (this.isBound(now) && !request.transfer)) {
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
        replica.postponeElection(now);
        return replica.saveVote(request.from);
    }

    private isUpToDate(request: PeerRequestOf<"vote"> | PeerRequestOf<"preVote">): boolean {
        const { log } = this.replica;
        return request.lastTerm > log.lastTerm
            || (request.lastTerm === log.lastTerm && request.lastPosition >= log.lastPosition);
    }
}

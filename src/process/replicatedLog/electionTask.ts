import type { PeerRequest } from "../../connection/peerMessage.js";
import type { Milliseconds } from "../../util/clock.js";
import { Leadership } from "./leadership.js";
import type { LeadershipOptions } from "./leadership.js";
import { hasQuorum, votersOf } from "./membership.js";
import type { Member } from "./membership.js";

/** Starts an election when the election timeout passes without contact from a leader, and leads after winning it. */
export class ElectionTask {
    /** @param runLeadership Runs a leadership concurrently with this task. */
    constructor(
        private readonly options: LeadershipOptions,
        private readonly runLeadership: (leadership: Leadership) => void,
    ) {}

    /** Runs until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        const { replica, clock } = this.options;
        while (!signal.aborted) {
            const now = clock.now();
            if (replica.role === "leader" || !replica.electable) {
                await replica.roleChanged.waitWithTimeout(clock, replica.timing.minimumElectionTimeout, signal);
            }
            else if (replica.isTransferTarget) {
                replica.resetElectionTimeout(now);
                await this.campaign(true);
            }
            else if (now < replica.electionDeadline) {
                await replica.roleChanged.waitWithTimeout(clock, replica.electionDeadline - now, signal);
            }
            else {
                replica.resetElectionTimeout(now);
                await this.runPreVote();
            }
        }
    }

    /**
     * Runs a pre-vote, and starts an election only if a quorum would vote for this member, so that an election that
     * cannot be won does not raise the term.
     */
    private async runPreVote(): Promise<void> {
        const { replica } = this.options;
        const term = replica.term + 1;
        const hasPreVoteQuorum = await this.collectVotes(voter => ({
            kind: "preVote",
            ...replica.envelope(voter.memberId),
            term,
            lastPosition: replica.log.lastPosition,
            lastTerm: replica.log.lastTerm,
        }));
        const stillLeaderless = replica.term + 1 === term && replica.leadership === undefined
            && !this.hasRecentLeaderContact();
        if (hasPreVoteQuorum && stillLeaderless) {
            await this.campaign(false);
        }
    }

    private hasRecentLeaderContact(): boolean {
        return this.options.clock.now() < this.options.replica.votesRefusedUntil;
    }

    private async campaign(transfer: boolean): Promise<void> {
        const { replica, clock } = this.options;
        const term = await replica.storageQueue.run(async () => this.startCandidacy());
        if (term === undefined) {
            return;
        }
        const { lastPosition, lastTerm } = replica.log;
        const won = await this.collectVotes(voter => ({
            kind: "vote",
            ...replica.envelope(voter.memberId),
            term,
            lastPosition,
            lastTerm,
            transfer,
        }));
        if (!won || replica.term !== term || replica.role !== "candidate") {
            return;
        }
        const leadership = new Leadership(this.options, clock.now());
        replica.becomeLeader(leadership);
        replica.events.write("leaderElected", { term, leader: replica.memberId });
        this.runLeadership(leadership);
    }

    /** Starts a new term with a durable vote for itself; undefined if that fails or a newer term is seen meanwhile. */
    private async startCandidacy(): Promise<number | undefined> {
        const { replica } = this.options;
        if (!replica.electable || replica.role === "leader") {
            return undefined;
        }
        replica.becomeCandidate();
        const { term } = replica;
        const saved = await replica.saveVote(replica.memberId);
        return saved && replica.term === term ? term : undefined;
    }

    /** Requests votes from all other voters concurrently; resolves once a quorum has granted or all have responded. */
    private async collectVotes(requestFor: (voter: Member) => PeerRequest): Promise<boolean> {
        const { replica } = this.options;
        const { membership, memberId } = replica;
        const granted = new Set([memberId]);
        const others = votersOf(membership).filter(voter => voter.memberId !== memberId);
        if (hasQuorum(membership, granted)) {
            return true;
        }
        return new Promise(resolve => {
            let pendingCount = others.length;
            for (const voter of others) {
                void this.requestVote(voter, requestFor(voter)).then(grants => {
                    pendingCount -= 1;
                    if (grants) {
                        granted.add(voter.memberId);
                    }
                    if (hasQuorum(membership, granted) || pendingCount === 0) {
                        resolve(hasQuorum(membership, granted));
                    }
                });
            }
        });
    }

    private async requestVote(voter: Member, request: PeerRequest): Promise<boolean> {
        const { replica } = this.options;
        const response = await this.options.network.request(voter.address, request, this.voteTimeout());
        if (response?.kind !== "vote") {
            return false;
        }
        replica.raiseTerm(response.term, "a voter has a newer term");
        return response.granted;
    }

    private voteTimeout(): Milliseconds {
        return this.options.replica.timing.minimumElectionTimeout / 2;
    }
}

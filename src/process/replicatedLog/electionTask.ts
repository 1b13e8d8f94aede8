import type { PeerRequest } from "../../connection/peerMessage.js";
import type { Milliseconds } from "../../util/clock.js";
import { Leadership } from "./leadership.js";
import type { LeadershipParts } from "./leadership.js";
import { hasQuorum, votersOf } from "./membership.js";
import type { Member } from "./membership.js";

/** Stands for election when the leader was silent for too long, and leads after a won vote. */
export class ElectionTask {
    /** @param lead Runs a leadership beside this task. */
    constructor(private readonly parts: LeadershipParts, private readonly lead: (leadership: Leadership) => void) {}

    /** Runs until the signal ends it. */
    async run(signal: AbortSignal): Promise<void> {
        const { replica, clock } = this.parts;
        while (!signal.aborted) {
            const now = clock.now();
            if (replica.role === "leader" || !replica.electable) {
                await replica.roleChanged.waitFor(clock, replica.timing.electionTimeoutLowest, signal);
            }
            else if (replica.takesLead) {
                replica.postponeElection(now);
                await this.campaign(true);
            }
            else if (now < replica.electionDeadline) {
                await replica.roleChanged.waitFor(clock, replica.electionDeadline - now, signal);
            }
            else {
                replica.postponeElection(now);
                await this.standIfWelcome();
            }
        }
    }

    /** Asks whether a vote could be won, and only then disturbs the others with a new term (pre-vote). */
    private async standIfWelcome(): Promise<void> {
        const { replica } = this.parts;
        const term = replica.term + 1;
        const welcome = await this.collectVotes(voter => ({
            kind: "preVote",
            ...replica.envelope(voter.memberId),
            term,
            lastPosition: replica.log.lastPosition,
            lastTerm: replica.log.lastTerm,
        }));
        const undisturbed = replica.term + 1 === term && replica.leadership === undefined && !this.hearsLeader();
        if (welcome && undisturbed) {
            await this.campaign(false);
        }
    }

    private hearsLeader(): boolean {
        return this.parts.clock.now() < this.parts.replica.promiseUntil;
    }

    private async campaign(transfer: boolean): Promise<void> {
        const { replica, clock } = this.parts;
        const term = await replica.storageQueue.run(async () => this.stand());
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
        const leadership = new Leadership(this.parts, clock.now());
        replica.lead(leadership);
        replica.events.write("leaderElected", { term, leader: replica.memberId });
        this.lead(leadership);
    }

    /** Opens a new term with a durable vote for itself; undefined when that failed or another term came first. */
    private async stand(): Promise<number | undefined> {
        const { replica } = this.parts;
        if (!replica.electable || replica.role === "leader") {
            return undefined;
        }
        replica.stand();
        const { term } = replica;
        const saved = await replica.saveVote(replica.memberId);
        return saved && replica.term === term ? term : undefined;
    }

    /** Asks all other voters at once; resolves as soon as a quorum granted or all have answered. */
    private async collectVotes(requestFor: (voter: Member) => PeerRequest): Promise<boolean> {
        const { replica } = this.parts;
        const { membership, memberId } = replica;
        const granted = new Set([memberId]);
        const others = votersOf(membership).filter(voter => voter.memberId !== memberId);
        if (hasQuorum(membership, granted)) {
            return true;
        }
        return new Promise(resolve => {
            let open = others.length;
            for (const voter of others) {
                void this.askVoter(voter, requestFor(voter)).then(grants => {
                    open -= 1;
                    if (grants) {
                        granted.add(voter.memberId);
                    }
                    if (hasQuorum(membership, granted) || open === 0) {
                        resolve(hasQuorum(membership, granted));
                    }
                });
            }
        });
    }

    private async askVoter(voter: Member, request: PeerRequest): Promise<boolean> {
        const { replica } = this.parts;
        const response = await this.parts.network.request(voter.address, request, this.voteTimeout());
        if (response?.kind !== "vote") {
            return false;
        }
        replica.raiseTerm(response.term, "a voter has a newer term");
        return response.granted;
    }

    private voteTimeout(): Milliseconds {
        return this.parts.replica.timing.electionTimeoutLowest / 2;
    }
}

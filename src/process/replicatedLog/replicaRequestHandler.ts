import { match } from "ts-pattern";
import type { PeerRequest, PeerRequestOf, PeerResponse } from "../../connection/peerMessage.js";
import { PeerRequestHandler } from "../../connection/peerNetwork.js";
import type { Clock } from "../../util/clock.js";
import { AppendHandler } from "./appendHandler.js";
import type { LogSnapshot } from "./logSnapshot.js";
import type { Replica } from "./replica.js";
import { SnapshotReceiver } from "./snapshotReceiver.js";
import { VoteHandler } from "./voteHandler.js";

/** What a request handler is made of. */
export interface RequestHandlerParts {
    readonly replica: Replica;
    readonly clock: Clock;
    /** This member's address for operators. */
    readonly operatorAddress: string;
    /** Addresses that the settings give to control processes. */
    readonly expectedAddresses: readonly string[];
    /** Puts an installed snapshot into the state machine. */
    readonly restore: (snapshot: LogSnapshot) => void;
    /** Ends with the process. */
    readonly signal: AbortSignal;
}

/** Answers the requests of the other members of a group. */
export class ReplicaRequestHandler extends PeerRequestHandler {
    private readonly voteHandler: VoteHandler;
    private readonly appendHandler: AppendHandler;
    private readonly snapshotReceiver: SnapshotReceiver;
    private starting = true;

    constructor(private readonly parts: RequestHandlerParts) {
        super();
        this.voteHandler = new VoteHandler(parts.replica);
        this.appendHandler = new AppendHandler(parts.replica);
        this.snapshotReceiver = new SnapshotReceiver(parts.replica, parts.restore);
    }

    /** Lets the member take part, after it has made sure that its disk is not outdated. */
    open(): void {
        this.starting = false;
    }

    override async handle(request: PeerRequest): Promise<PeerResponse | undefined> {
        const { replica } = this.parts;
        if (request.kind === "describe") {
            return this.describe(request);
        }
        if (request.to !== replica.memberId && request.kind !== "join") {
            return { kind: "refused", reason: "wrongMember" };
        }
        if (replica.halted !== undefined) {
            return { kind: "refused", reason: "halted" };
        }
        if (this.starting) {
            return { kind: "refused", reason: "starting" };
        }
        return this.answer(request);
    }

    private async answer(request: Exclude<PeerRequest, { readonly kind: "describe"; }>): Promise<PeerResponse> {
        const { replica, clock } = this.parts;
        const now = clock.now();
        return match(request)
            .returnType<PeerResponse | Promise<PeerResponse>>()
            .with({ kind: "preVote" }, preVote => this.voteHandler.handlePreVote(preVote, now))
            .with({ kind: "vote" }, async vote => this.voteHandler.handleVote(vote, now))
            .with({ kind: "append" }, async append => this.appendHandler.handleAppend(append, now))
            .with({ kind: "heartbeat" }, heartbeat => this.appendHandler.handleHeartbeat(heartbeat, now))
            .with({ kind: "snapshotChunk" }, async chunk => this.snapshotReceiver.handleChunk(chunk, now))
            .with({ kind: "takeLead" }, takeLead => this.takeLead(takeLead))
            .with({ kind: "confirm" }, async () => this.confirm())
            .with({ kind: "join" }, join => ({
                kind: "join",
                accepted: replica.leadership?.acceptJoin(join) === true,
            }))
            .exhaustive();
    }

    private describe(request: PeerRequestOf<"describe">): PeerResponse {
        const { replica, operatorAddress, expectedAddresses } = this.parts;
        return {
            kind: "describe",
            memberId: replica.memberId,
            operatorAddress,
            expectedAddresses,
            formed: replica.log.lastPosition > 0,
            leaderAddress: replica.leaderPeerAddress,
            acknowledged: replica.acknowledged.of(request.from),
        };
    }

    private takeLead(request: PeerRequestOf<"takeLead">): PeerResponse {
        const { replica } = this.parts;
        const accepted = request.term === replica.term && replica.leaderId === request.from && replica.electable;
        if (accepted) {
            replica.acceptLead();
        }
        return { kind: "takeLead", accepted };
    }

    private async confirm(): Promise<PeerResponse> {
        const { replica, clock, signal } = this.parts;
        const confirmed = await replica.leadership?.confirmPosition(clock.now(), signal);
        return { kind: "confirm", position: confirmed?.ok === true ? confirmed.val : undefined };
    }
}

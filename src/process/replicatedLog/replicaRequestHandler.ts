import { match } from "ts-pattern";
import type { PeerRequest, PeerRequestOf, PeerResponse } from "../../connection/peerMessage.js";
import { PeerRequestHandler } from "../../connection/peerNetwork.js";
import type { Clock } from "../../util/clock.js";
import { AppendHandler } from "./appendHandler.js";
import type { LogSnapshot } from "./logSnapshot.js";
import type { Replica } from "./replica.js";
import { SnapshotReceiver } from "./snapshotReceiver.js";
import { VoteHandler } from "./voteHandler.js";

/** Dependencies and settings of a {@link ReplicaRequestHandler}. */
export interface RequestHandlerOptions {
    readonly replica: Replica;
    readonly clock: Clock;
    /** Address at which operators reach this member. */
    readonly operatorAddress: string;
    /** Addresses of all control processes that the settings name. */
    readonly expectedAddresses: readonly string[];
    /** Restores the state machine from an installed snapshot. */
    readonly restore: (snapshot: LogSnapshot) => void;
    /** Aborted when the log is closed. */
    readonly signal: AbortSignal;
}

/** Handles the requests of the other members of a group. */
export class ReplicaRequestHandler extends PeerRequestHandler {
    private readonly voteHandler: VoteHandler;
    private readonly appendHandler: AppendHandler;
    private readonly snapshotReceiver: SnapshotReceiver;
    private starting = true;

    constructor(private readonly options: RequestHandlerOptions) {
        super();
        this.voteHandler = new VoteHandler(options.replica);
        this.appendHandler = new AppendHandler(options.replica);
        this.snapshotReceiver = new SnapshotReceiver(options.replica, options.restore);
    }

    /** Enables requests other than `describe`, after the check that the disk is not outdated. */
    enable(): void {
        this.starting = false;
    }

    override async handle(request: PeerRequest): Promise<PeerResponse | undefined> {
        const { replica } = this.options;
        if (request.kind === "describe") {
            return this.handleDescribe(request);
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
        return this.dispatch(request);
    }

    private async dispatch(request: Exclude<PeerRequest, { readonly kind: "describe"; }>): Promise<PeerResponse> {
        const { replica, clock } = this.options;
        const now = clock.now();
        return match(request)
            .returnType<PeerResponse | Promise<PeerResponse>>()
            .with({ kind: "preVote" }, preVote => this.voteHandler.handlePreVote(preVote, now))
            .with({ kind: "vote" }, async vote => this.voteHandler.handleVote(vote, now))
            .with({ kind: "append" }, async append => this.appendHandler.handleAppend(append, now))
            .with({ kind: "heartbeat" }, heartbeat => this.appendHandler.handleHeartbeat(heartbeat, now))
            .with({ kind: "snapshotChunk" }, async chunk => this.snapshotReceiver.handleChunk(chunk, now))
            .with({ kind: "takeLead" }, takeLead => this.handleTransfer(takeLead))
            .with({ kind: "confirm" }, async () => this.handleConfirm())
            .with({ kind: "join" }, join => ({
                kind: "join",
                accepted: replica.leadership?.acceptJoin(join) === true,
            }))
            .exhaustive();
    }

    private handleDescribe(request: PeerRequestOf<"describe">): PeerResponse {
        const { replica, operatorAddress, expectedAddresses } = this.options;
        return {
            kind: "describe",
            memberId: replica.memberId,
            operatorAddress,
            expectedAddresses,
            formed: replica.log.lastPosition > 0,
            leaderAddress: replica.leaderPeerAddress,
            acknowledged: replica.acknowledged.get(request.from),
        };
    }

    private handleTransfer(request: PeerRequestOf<"takeLead">): PeerResponse {
        const { replica } = this.options;
        const accepted = request.term === replica.term && replica.leaderId === request.from && replica.electable;
        if (accepted) {
            replica.acceptTransfer();
        }
        return { kind: "takeLead", accepted };
    }

    private async handleConfirm(): Promise<PeerResponse> {
        const { replica, clock, signal } = this.options;
        const confirmed = await replica.leadership?.confirmPosition(clock.now(), signal);
        return { kind: "confirm", position: confirmed?.ok === true ? confirmed.val : undefined };
    }
}

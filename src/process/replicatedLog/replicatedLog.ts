import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { DisposableStore } from "../../util/disposableStore.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { CommandLog } from "./commandLog.js";
import type { CommittedCommand, FencingToken } from "./commandLog.js";
import { DurableLog } from "./durableLog.js";
import { ElectionTask } from "./electionTask.js";
import type { GroupFiles } from "./groupFiles.js";
import { JoinTask } from "./joinTask.js";
import { timingFault } from "./logTiming.js";
import type { MembershipChange } from "./membership.js";
import { findMember } from "./membership.js";
import { encodeValue } from "./recordCodec.js";
import { Replica } from "./replica.js";
import { ReplicaRequestHandler } from "./replicaRequestHandler.js";
import type { ReplicaStatus, ReplicatedLogOptions } from "./replicatedLogOptions.js";
import { StateApplier } from "./stateApplier.js";
import { VoteRecord } from "./voteRecord.js";

export type { ReplicaStatus, ReplicatedLogOptions } from "./replicatedLogOptions.js";

/**
 * One member's copy of a log that 3 or 5 control processes share (Raft, with pre-vote, check-quorum, leases and
 * learners).
 *
 * A program constructs it so:
 *
 * ```ts
 * const storage = (await FileLogStorage.open(dataFolder)).unwrap();
 * const identity = (await loadIdentity(storage, "tas-south")).unwrap();
 * const network = (await TcpPeerNetwork.listen({ address, identity, security, events })).unwrap();
 * const log = (await ReplicatedLog.open({ group: "main", storage, identity, network, machine, ... })).unwrap();
 * ...
 * await log.close(); // hands the lead over first
 * await network.close();
 * await storage.close();
 * ```
 */
export class ReplicatedLog<Command, Outcome> extends CommandLog<Command, Outcome> {
    private readonly stopping = new AbortController();
    private readonly owned = new DisposableStore();
    private readonly replica: Replica;
    private readonly applier: StateApplier<Command, Outcome>;
    private readonly joinTask: JoinTask;
    private readonly handler: ReplicaRequestHandler;

    private constructor(
        private readonly options: ReplicatedLogOptions<Command, Outcome>,
        files: GroupFiles,
        log: DurableLog,
        votes: VoteRecord,
    ) {
        super();
        this.replica = new Replica({ ...options, files, log, votes }, options.clock.now());
        const { replica } = this;
        const { stateMachine: machine, snapshotInterval, retainedEntries } = options;
        this.applier = new StateApplier(replica, machine, snapshotInterval, retainedEntries);
        this.joinTask = new JoinTask({ ...options, replica });
        this.handler = new ReplicaRequestHandler({
            ...options,
            replica,
            restore: snapshot => {
                this.applier.restore(snapshot);
            },
            signal: this.stopping.signal,
        });
    }

    /** Reads the member's files, or makes them at its first start, and begins to take part. */
    static async open<Command, Outcome>(
        options: ReplicatedLogOptions<Command, Outcome>,
    ): Promise<Result<ReplicatedLog<Command, Outcome>, Failure>> {
        const reason = timingFault(options.timing);
        if (reason !== undefined) {
            return Err(failure("timingInvalid", { reason }));
        }
        try {
            return await ReplicatedLog.read(options);
        }
        catch (error) {
            return Err(failure("logStateUnreadable", { reason: String(error) }));
        }
    }

    override async propose(
        command: Command,
        signal?: AbortSignal,
    ): Promise<Result<CommittedCommand<Outcome>, Failure>> {
        const { leadership } = this.replica;
        if (leadership === undefined) {
            return Err(this.notLeader());
        }
        return new Promise(resolve => {
            const settle = (outcome: Result<CommittedCommand<Outcome>, Failure>): void => {
                signal?.removeEventListener("abort", abandon);
                resolve(outcome);
            };
            const abandon = (): void => {
                settle(Err(failure("quorumUnavailable")));
            };
            signal?.addEventListener("abort", abandon, { once: true });
            leadership.propose({ kind: "command", command: encodeValue(command) }, placement => {
                if (placement.err) {
                    settle(Err(placement.val.code === "notLeader" ? this.notLeader() : placement.val));
                    return;
                }
                this.applier.expect(placement.val, leadership.term, settle);
            });
        });
    }

    override async confirmPosition(signal?: AbortSignal): Promise<Result<number, Failure>> {
        const ended = signal === undefined ? this.stopping.signal : AbortSignal.any([signal, this.stopping.signal]);
        const { leadership, leaderId, leaderPeerAddress } = this.replica;
        if (leadership !== undefined) {
            return leadership.confirmPosition(this.options.clock.now(), ended);
        }
        if (leaderId === undefined || leaderPeerAddress === undefined) {
            return Err(failure("quorumUnavailable"));
        }
        const request = { kind: "confirm" as const, ...this.replica.envelope(leaderId) };
        const timeout = this.options.timing.electionTimeoutHighest;
        const response = await this.options.network.request(leaderPeerAddress, request, timeout);
        return response?.kind === "confirm" && response.position !== undefined
            ? Ok(response.position)
            : Err(failure("quorumUnavailable"));
    }

    override lease(now: Milliseconds, room: Milliseconds): FencingToken | undefined {
        const { leadership } = this.replica;
        if (leadership === undefined || this.applier.appliedPosition < leadership.firstPosition) {
            return undefined;
        }
        return leadership.permitsAct(now, room) ? { fencingNumber: leadership.term } : undefined;
    }

    override leaderAddress(): string | undefined {
        const { leaderId, membership } = this.replica;
        return leaderId === undefined ? undefined : findMember(membership, leaderId)?.operatorAddress;
    }

    override leadingTerm(): number | undefined {
        return this.replica.leadership?.term;
    }

    override async waitForPosition(position: number, signal?: AbortSignal): Promise<boolean> {
        const ended = signal === undefined ? this.stopping.signal : AbortSignal.any([signal, this.stopping.signal]);
        while (this.applier.appliedPosition < position && !ended.aborted) {
            await this.applier.changed.wait(ended);
        }
        return this.applier.appliedPosition >= position;
    }

    /** Changes the members by one step; resolves with its position once it is committed. */
    async changeMembership(change: MembershipChange, signal?: AbortSignal): Promise<Result<number, Failure>> {
        const { leadership } = this.replica;
        if (leadership === undefined) {
            return Err(this.notLeader());
        }
        const placement = await new Promise<Result<number, Failure>>(resolve => {
            leadership.proposeChange(change, resolve);
        });
        if (placement.err || (await this.waitForPosition(placement.val, signal))) {
            return placement;
        }
        return Err(failure("quorumUnavailable"));
    }

    /** How this member stands. */
    status(): ReplicaStatus {
        const { memberId, role, term, leaderId, log, commitPosition, membership, halted } = this.replica;
        const { appliedPosition } = this.applier;
        const { lastPosition } = log;
        return { memberId, role, term, leaderId, lastPosition, commitPosition, appliedPosition, membership, halted };
    }

    /** Hands the lead over if this member has it, and ends its part; storage and network stay open. */
    async close(): Promise<void> {
        await this.handOver();
        this.stopping.abort();
        this.replica.follow(undefined, "the process stops");
        this.applier.abandonAll();
        await this.owned.dispose();
        await this.replica.storageQueue.run(async () => Promise.resolve());
    }

    private static async read<Command, Outcome>(
        options: ReplicatedLogOptions<Command, Outcome>,
    ): Promise<Result<ReplicatedLog<Command, Outcome>, Failure>> {
        const files: GroupFiles = options;
        const known = await VoteRecord.load(files);
        if (known.err) {
            return known;
        }
        const log = await DurableLog.open(files, known.val === undefined);
        if (log.err) {
            return log;
        }
        if (known.val === undefined && log.val.lastPosition > 0) {
            return Err(failure("logIncomplete", { reason: "the vote file is missing" }));
        }
        const votes = known.val === undefined ? await VoteRecord.create(files) : Ok(known.val);
        if (votes.err) {
            return votes;
        }
        const opened = new ReplicatedLog(options, files, log.val, votes.val);
        opened.start();
        return Ok(opened);
    }

    private start(): void {
        const { options, replica, stopping } = this;
        this.owned.add(options.network.register(options.group, this.handler));
        this.runTask("applier", async () => this.applier.run(stopping.signal));
        this.runTask("abandonment", async () => this.abandonOnRoleChange());
        this.runTask("election", async () => {
            await this.joinTask.checkOutdated(stopping.signal);
            this.handler.open();
            await Promise.all([
                this.joinTask.run(stopping.signal),
                new ElectionTask({ ...options, replica }, leadership => {
                    this.runTask("leadership", async () => leadership.run());
                }).run(stopping.signal),
            ]);
        });
    }

    private runTask(task: string, action: () => Promise<void>): void {
        action().catch((error: unknown) => {
            const reason = error instanceof Error ? error.stack ?? error.message : String(error);
            this.options.events.write("taskFailed", { task, reason });
            this.replica.halt(failure("logStateUnreadable", { reason: String(error) }));
        });
    }

    private async abandonOnRoleChange(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.replica.roleChanged.wait(this.stopping.signal);
            if (this.replica.leadership === undefined) {
                this.applier.abandonAll();
            }
        }
    }

    private async handOver(): Promise<void> {
        const { replica, options: { clock, timing } } = this;
        const limit = new AbortController();
        void clock.sleep(timing.electionTimeoutHighest, limit.signal).then(() => {
            limit.abort();
        });
        const taken = await replica.leadership?.handOver(limit.signal) === true;
        while (taken && replica.leaderId === undefined && !limit.signal.aborted) {
            await replica.roleChanged.wait(limit.signal);
        }
        limit.abort();
    }

    private notLeader(): Failure {
        return failure("notLeader", { leader: this.leaderAddress() ?? "unknown" });
    }
}

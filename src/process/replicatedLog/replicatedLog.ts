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
import { invalidTimingReason } from "./logTiming.js";
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
 * One member of a log that is replicated among 3 or 5 control processes (Raft with pre-vote, check-quorum, leader
 * leases and learners).
 *
 * Example:
 *
 * ```ts
 * const storage = (await FileLogStorage.open(dataFolder)).unwrap();
 * const identity = (await loadIdentity(storage, "tas-south")).unwrap();
 * const network = (await TcpPeerNetwork.listen({ address, identity, security, events })).unwrap();
 * const log = (await ReplicatedLog.open({ group: "main", storage, identity, network, stateMachine, ... })).unwrap();
 * ...
 * await log.close(); // transfers leadership first
 * await network.close();
 * await storage.close();
 * ```
 */
export class ReplicatedLog<Command, Outcome> extends CommandLog<Command, Outcome> {
    private readonly stopping = new AbortController();
    private readonly disposables = new DisposableStore();
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

    /** Reads the member's files, or creates them on its first start, and starts the member's tasks. */
    static async open<Command, Outcome>(
        options: ReplicatedLogOptions<Command, Outcome>,
    ): Promise<Result<ReplicatedLog<Command, Outcome>, Failure>> {
        const reason = invalidTimingReason(options.timing);
        if (reason !== undefined) {
            return Err(failure("timingInvalid", { reason }));
        }
        try {
            return await ReplicatedLog.load(options);
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
                signal?.removeEventListener("abort", cancel);
                resolve(outcome);
            };
            const cancel = (): void => {
                settle(Err(failure("quorumUnavailable")));
            };
            signal?.addEventListener("abort", cancel, { once: true });
            leadership.propose({ kind: "command", command: encodeValue(command) }, assignment => {
                if (assignment.err) {
                    settle(Err(assignment.val.code === "notLeader" ? this.notLeader() : assignment.val));
                    return;
                }
                this.applier.addOutcomeListener(assignment.val, leadership.term, settle);
            });
        });
    }

    override async confirmPosition(signal?: AbortSignal): Promise<Result<number, Failure>> {
        const endSignal = signal === undefined ? this.stopping.signal : AbortSignal.any([signal, this.stopping.signal]);
        const { leadership, leaderId, leaderPeerAddress } = this.replica;
        if (leadership !== undefined) {
            return leadership.confirmPosition(this.options.clock.now(), endSignal);
        }
        if (leaderId === undefined || leaderPeerAddress === undefined) {
            return Err(failure("quorumUnavailable"));
        }
        const request = { kind: "confirm" as const, ...this.replica.envelope(leaderId) };
        const timeout = this.options.timing.maximumElectionTimeout;
        const response = await this.options.network.request(leaderPeerAddress, request, timeout);
        return response?.kind === "confirm" && response.position !== undefined
            ? Ok(response.position)
            : Err(failure("quorumUnavailable"));
    }

    override lease(now: Milliseconds, callDuration: Milliseconds): FencingToken | undefined {
        const { leadership } = this.replica;
        if (leadership === undefined || this.applier.appliedPosition < leadership.firstPosition) {
            return undefined;
        }
        return leadership.permitsCall(now, callDuration) ? { fencingNumber: leadership.term } : undefined;
    }

    override leaderAddress(): string | undefined {
        const { leaderId, membership } = this.replica;
        return leaderId === undefined ? undefined : findMember(membership, leaderId)?.operatorAddress;
    }

    override leadingTerm(): number | undefined {
        return this.replica.leadership?.term;
    }

    override async waitForPosition(position: number, signal?: AbortSignal): Promise<boolean> {
        const endSignal = signal === undefined ? this.stopping.signal : AbortSignal.any([signal, this.stopping.signal]);
        while (this.applier.appliedPosition < position && !endSignal.aborted) {
            await this.applier.appliedChanged.wait(endSignal);
        }
        return this.applier.appliedPosition >= position;
    }

    /**
     * Makes a single-server membership change; resolves with the position of its entry once it is committed and
     * applied.
     */
    async changeMembership(change: MembershipChange, signal?: AbortSignal): Promise<Result<number, Failure>> {
        const { leadership } = this.replica;
        if (leadership === undefined) {
            return Err(this.notLeader());
        }
        const assignment = await new Promise<Result<number, Failure>>(resolve => {
            leadership.proposeChange(change, resolve);
        });
        if (assignment.err || (await this.waitForPosition(assignment.val, signal))) {
            return assignment;
        }
        return Err(failure("quorumUnavailable"));
    }

    /** The current status of this member. */
    status(): ReplicaStatus {
        const { memberId, role, term, leaderId, log, commitPosition, membership, halted } = this.replica;
        const { appliedPosition } = this.applier;
        const { lastPosition } = log;
        return { memberId, role, term, leaderId, lastPosition, commitPosition, appliedPosition, membership, halted };
    }

    /** Time since the last contact with a member; undefined unless this member leads. */
    silenceOf(memberId: string, now: Milliseconds): Milliseconds | undefined {
        return this.replica.leadership?.silenceOf(memberId, now);
    }

    /** Transfers leadership if this member is the leader, and stops all tasks; storage and network stay open. */
    async close(): Promise<void> {
        await this.transferLeadership();
        this.stopping.abort();
        this.replica.becomeFollower(undefined, "the process stops");
        this.applier.failPending();
        await this.disposables.dispose();
        await this.replica.storageQueue.run(async () => Promise.resolve());
    }

    private static async load<Command, Outcome>(
        options: ReplicatedLogOptions<Command, Outcome>,
    ): Promise<Result<ReplicatedLog<Command, Outcome>, Failure>> {
        const files: GroupFiles = options;
        const storedVotes = await VoteRecord.load(files);
        if (storedVotes.err) {
            return storedVotes;
        }
        const log = await DurableLog.open(files, storedVotes.val === undefined);
        if (log.err) {
            return log;
        }
        if (storedVotes.val === undefined && log.val.lastPosition > 0) {
            return Err(failure("logIncomplete", { reason: "the vote file is missing" }));
        }
        const votes = storedVotes.val === undefined ? await VoteRecord.create(files) : Ok(storedVotes.val);
        if (votes.err) {
            return votes;
        }
        const opened = new ReplicatedLog(options, files, log.val, votes.val);
        opened.start();
        return Ok(opened);
    }

    private start(): void {
        const { options, replica, stopping } = this;
        this.disposables.add(options.network.register(options.group, this.handler));
        this.runTask("applier", async () => this.applier.run(stopping.signal));
        this.runTask("abandonment", async () => this.failPendingOnRoleChange());
        this.runTask("election", async () => {
            await this.joinTask.checkDiskIsCurrent(stopping.signal);
            this.handler.enable();
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

    private async failPendingOnRoleChange(): Promise<void> {
        while (!this.stopping.signal.aborted) {
            await this.replica.roleChanged.wait(this.stopping.signal);
            if (this.replica.leadership === undefined) {
                this.applier.failPending();
            }
        }
    }

    private async transferLeadership(): Promise<void> {
        const { replica, options: { clock, timing } } = this;
        const timeoutController = new AbortController();
        void clock.sleep(timing.maximumElectionTimeout, timeoutController.signal).then(() => {
            timeoutController.abort();
        });
        const accepted = await replica.leadership?.transferLeadership(timeoutController.signal) === true;
        while (accepted && replica.leaderId === undefined && !timeoutController.signal.aborted) {
            await replica.roleChanged.wait(timeoutController.signal);
        }
        timeoutController.abort();
    }

    private notLeader(): Failure {
        return failure("notLeader", { leader: this.leaderAddress() ?? "unknown" });
    }
}

import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { ConditionVariable } from "../../util/conditionVariable.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { CommittedCommand, StateMachine } from "./commandLog.js";
import type { LogSnapshot } from "./logSnapshot.js";
import { decodeValue } from "./recordCodec.js";
import type { Replica } from "./replica.js";

/** Receives the outcome of a command, or the failure with which waiting for it ended. */
export type OutcomeListener<Outcome> = (outcome: Result<CommittedCommand<Outcome>, Failure>) => void;

/** A command that is waiting for its outcome. */
interface PendingCommand<Outcome> {
    readonly term: number;
    readonly listener: OutcomeListener<Outcome>;
}

/** Applies committed commands to the state machine, and takes snapshots of its state. */
export class StateApplier<Command, Outcome> {
    /** Woken when the applied position increases. */
    readonly appliedChanged = new ConditionVariable();

    private applied = 0;
    private readonly pendingCommands = new Map<number, PendingCommand<Outcome>>();

    /**
     * @param snapshotInterval Number of entries between two snapshots.
     * @param retainedEntries Minimum number of entries before a snapshot that are kept for slightly lagging members.
     */
    constructor(
        private readonly replica: Replica,
        private readonly stateMachine: StateMachine<Command, Outcome>,
        private readonly snapshotInterval: number,
        private readonly retainedEntries: number,
    ) {
        const { snapshot } = replica.log;
        if (snapshot !== undefined) {
            this.restore(snapshot);
        }
    }

    /** Position of the last applied entry. */
    get appliedPosition(): number {
        return this.applied;
    }

    /** Registers a listener for the outcome of the command that the leader of a term appended at a position. */
    addOutcomeListener(position: number, term: number, listener: OutcomeListener<Outcome>): void {
        this.pendingCommands.set(position, { term, listener });
    }

    /** Fails all pending commands with `quorumUnavailable`, because their outcome is unknown. */
    failPending(): void {
        const pending = [...this.pendingCommands.values()];
        this.pendingCommands.clear();
        for (const { listener } of pending) {
            listener(Err(failure("quorumUnavailable")));
        }
    }

    /** Replaces the state with that of a snapshot. */
    restore(snapshot: LogSnapshot): void {
        this.stateMachine.restore(snapshot.state);
        this.applied = snapshot.position;
        this.appliedChanged.notifyAll();
    }

    /** Applies entries as they are committed, until the signal is aborted. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.applied === this.replica.commitPosition) {
                await this.replica.committed.wait(signal);
                continue;
            }
            this.applyCommitted();
            this.appliedChanged.notifyAll();
            if (this.applied - (this.replica.log.snapshot?.position ?? 0) >= this.snapshotInterval) {
                await this.takeSnapshot();
            }
        }
    }

    private applyCommitted(): void {
        const { log, commitPosition } = this.replica;
        while (this.applied < commitPosition) {
            const position = this.applied + 1;
            const entry = log.entryAt(position);
            if (entry === undefined) {
                throw new Error(`committed entry ${position} is missing from the log`);
            }
            this.applied = position;
            if (entry.kind === "command") {
                const outcome = this.stateMachine.apply(decodeValue(entry.command) as Command, position);
                this.settlePending(position, entry.term, outcome);
            }
        }
    }

    private settlePending(position: number, term: number, outcome: Outcome): void {
        const pending = this.pendingCommands.get(position);
        this.pendingCommands.delete(position);
        if (pending !== undefined) {
            const isSameTerm = pending.term === term;
            pending.listener(isSameTerm ? Ok({ position, outcome }) : Err(failure("quorumUnavailable")));
        }
    }

    private async takeSnapshot(): Promise<void> {
        const { log, group } = this.replica;
        const position = this.applied;
        const snapshot = {
            position,
            term: log.termAt(position) ?? 0,
            membership: log.membershipAt(position),
            state: this.stateMachine.snapshot(),
        };
        await this.replica.storageQueue.run(async () => {
            if (position <= (log.snapshot?.position ?? 0) || this.replica.halted !== undefined) {
                return;
            }
            const compacted = await log.compact(snapshot, this.retainedEntries);
            if (compacted.err) {
                this.replica.handleStorageFailure(compacted.val);
                return;
            }
            this.replica.events.write("snapshotTaken", { group, position, bytes: snapshot.state.length });
        });
    }
}

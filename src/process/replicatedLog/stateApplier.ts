import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { WakeUp } from "../../util/wakeUp.js";
import type { CommittedCommand, StateMachine } from "./commandLog.js";
import type { LogSnapshot } from "./logSnapshot.js";
import { decodeValue } from "./recordCodec.js";
import type { Replica } from "./replica.js";

/** Hears what became of a command. */
export type OutcomeListener<Outcome> = (outcome: Result<CommittedCommand<Outcome>, Failure>) => void;

/** A command whose outcome is awaited. */
interface AwaitedCommand<Outcome> {
    readonly term: number;
    readonly listener: OutcomeListener<Outcome>;
}

/** Applies committed commands to the state machine, and takes snapshots of it. */
export class StateApplier<Command, Outcome> {
    /** Woken when the applied position rose. */
    readonly changed = new WakeUp();

    private applied = 0;
    private readonly awaited = new Map<number, AwaitedCommand<Outcome>>();

    /**
     * @param snapshotInterval Entries between two snapshots.
     * @param retainedEntries Entries that are kept behind a snapshot for members that lag a little.
     */
    constructor(
        private readonly replica: Replica,
        private readonly machine: StateMachine<Command, Outcome>,
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

    /** Awaits the outcome of the command that a leader of a term placed at a position. */
    expect(position: number, term: number, listener: OutcomeListener<Outcome>): void {
        this.awaited.set(position, { term, listener });
    }

    /** Tells all who wait that the outcome is not known here. */
    abandonAll(): void {
        const abandoned = [...this.awaited.values()];
        this.awaited.clear();
        for (const { listener } of abandoned) {
            listener(Err(failure("quorumUnavailable")));
        }
    }

    /** Replaces the state by that of a snapshot. */
    restore(snapshot: LogSnapshot): void {
        this.machine.restore(snapshot.state);
        this.applied = snapshot.position;
        this.changed.wake();
    }

    /** Applies entries as they are committed, until the signal ends it. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.applied === this.replica.commitPosition) {
                await this.replica.committed.wait(signal);
                continue;
            }
            this.applyCommitted();
            this.changed.wake();
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
                throw new Error(`entry ${position} is committed but missing`);
            }
            this.applied = position;
            if (entry.kind === "command") {
                const outcome = this.machine.apply(decodeValue(entry.command) as Command, position);
                this.settle(position, entry.term, outcome);
            }
        }
    }

    private settle(position: number, term: number, outcome: Outcome): void {
        const awaited = this.awaited.get(position);
        this.awaited.delete(position);
        if (awaited !== undefined) {
            const same = awaited.term === term;
            awaited.listener(same ? Ok({ position, outcome }) : Err(failure("quorumUnavailable")));
        }
    }

    private async takeSnapshot(): Promise<void> {
        const { log, group } = this.replica;
        const position = this.applied;
        const snapshot = {
            position,
            term: log.termAt(position) ?? 0,
            membership: log.membershipAt(position),
            state: this.machine.snapshot(),
        };
        await this.replica.storageQueue.run(async () => {
            if (position <= (log.snapshot?.position ?? 0) || this.replica.halted !== undefined) {
                return;
            }
            const compacted = await log.compact(snapshot, this.retainedEntries);
            if (compacted.err) {
                this.replica.noteStorageFault(compacted.val);
                return;
            }
            this.replica.events.write("snapshotTaken", { group, position, bytes: snapshot.state.length });
        });
    }
}

import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { ConditionVariable } from "../../util/conditionVariable.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { EntryContent, LogEntry } from "./logEntry.js";
import { entryBytes } from "./logEntry.js";
import type { Replica } from "./replica.js";

/** Maximum number of queued proposals. */
const maximumQueuedProposals = 20_000;

/** Estimated batch size in bytes at which no further entry is added to a batch. */
const maximumBatchBytes = 1024 * 1024;

/** Maximum command size in bytes; a command must fit into one frame of the peer protocol with a margin. */
export const maximumCommandBytes = 4 * 1024 * 1024;

/**
 * Receives the position assigned to a proposal, or why it was refused; called once, before the entry can be committed.
 */
export type AssignmentListener = (assignment: Result<number, Failure>) => void;

/** Content that waits for a position in the log. */
interface Proposal {
    readonly content: EntryContent;
    readonly onAssigned: AssignmentListener;
}

/** Writes the proposals of one leadership to the leader's log; queued proposals share one sync (group commit). */
export class ProposalWriter {
    private queue: Proposal[] = [];
    private readonly proposalQueued = new ConditionVariable();
    /** When the batch that is being written was handed to the disk; undefined while none is. */
    private writingSince: Milliseconds | undefined;

    /**
     * @param term Term of the leadership.
     * @param onAppended Called when entries are visible in the log, and again when they are durable.
     */
    constructor(
        private readonly replica: Replica,
        private readonly clock: Clock,
        private readonly term: number,
        private readonly onAppended: () => void,
    ) {}

    /** Time for which the own disk has been writing the current batch; 0 while it writes none. */
    writingTime(now: Milliseconds): Milliseconds {
        return this.writingSince === undefined ? 0 : now - this.writingSince;
    }

    /** Queues a proposal. */
    propose(content: EntryContent, onAssigned: AssignmentListener): void {
        if (this.queue.length >= maximumQueuedProposals) {
            onAssigned(Err(failure("proposalQueueFull", { waiting: this.queue.length })));
            return;
        }
        if (content.kind === "command" && content.command.length > maximumCommandBytes) {
            onAssigned(Err(failure("commandTooLarge", { bytes: content.command.length, limit: maximumCommandBytes })));
            return;
        }
        this.queue.push({ content, onAssigned });
        this.proposalQueued.notifyAll();
    }

    /** Writes proposals until the signal is aborted; then rejects those still queued. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.queue.length === 0) {
                await this.proposalQueued.wait(signal);
                continue;
            }
            await this.replica.storageQueue.run(async () => this.writeBatch(signal));
        }
        for (const proposal of this.queue) {
            proposal.onAssigned(Err(failure("notLeader", { leader: "unknown" })));
        }
        this.queue = [];
    }

    private async writeBatch(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        if (signal.aborted || replica.term !== this.term) {
            return;
        }
        const entries = this.takeBatch();
        this.writingSince = this.clock.now();
        const appending = replica.log.append(entries);
        this.onAppended();
        const appended = await appending;
        this.writingSince = undefined;
        if (appended.err) {
            replica.handleStorageFailure(appended.val);
            replica.becomeFollower(undefined, "writing entries to the log failed");
            return;
        }
        this.onAppended();
    }

    private takeBatch(): readonly LogEntry[] {
        const entries: LogEntry[] = [];
        let bytes = 0;
        while (bytes < maximumBatchBytes) {
            const proposal = this.queue.shift();
            if (proposal === undefined) {
                break;
            }
            const position = this.replica.log.lastPosition + entries.length + 1;
            const entry: LogEntry = { ...proposal.content, position, term: this.term };
            proposal.onAssigned(Ok(position));
            entries.push(entry);
            bytes += entryBytes(entry);
        }
        return entries;
    }
}

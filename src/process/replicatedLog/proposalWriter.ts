import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { WakeUp } from "../../util/wakeUp.js";
import type { EntryContent, LogEntry } from "./logEntry.js";
import { entryBytes } from "./logEntry.js";
import type { Replica } from "./replica.js";

/** Commands that may wait to be written. */
const maximumWaiting = 20_000;

/** Bytes that are written and synced together at most. */
const maximumBatchBytes = 1024 * 1024;

/** Largest command in bytes; it must fit into one frame with room to spare. */
export const maximumCommandBytes = 4 * 1024 * 1024;

/** Hears where a proposal was placed, or why it was not; called once, before the entry can be committed. */
export type PlacementListener = (placement: Result<number, Failure>) => void;

/** A content that waits for its place. */
interface Proposal {
    readonly content: EntryContent;
    readonly onPlaced: PlacementListener;
}

/** Writes the proposals of one leadership into its own log, as many as wait with one sync (group commit). */
export class ProposalWriter {
    private waiting: Proposal[] = [];
    private readonly arrived = new WakeUp();

    /**
     * @param term Term of the leadership.
     * @param onAppended Called when entries became visible, and again when they became durable.
     */
    constructor(
        private readonly replica: Replica,
        private readonly term: number,
        private readonly onAppended: () => void,
    ) {}

    /** Queues a content. */
    propose(content: EntryContent, onPlaced: PlacementListener): void {
        if (this.waiting.length >= maximumWaiting) {
            onPlaced(Err(failure("proposalQueueFull", { waiting: this.waiting.length })));
            return;
        }
        if (content.kind === "command" && content.command.length > maximumCommandBytes) {
            onPlaced(Err(failure("commandTooLarge", { bytes: content.command.length, limit: maximumCommandBytes })));
            return;
        }
        this.waiting.push({ content, onPlaced });
        this.arrived.wake();
    }

    /** Writes until the signal ends it; what waits then is refused. */
    async run(signal: AbortSignal): Promise<void> {
        while (!signal.aborted) {
            if (this.waiting.length === 0) {
                await this.arrived.wait(signal);
                continue;
            }
            await this.replica.storageQueue.run(async () => this.writeBatch(signal));
        }
        for (const proposal of this.waiting) {
            proposal.onPlaced(Err(failure("notLeader", { leader: "unknown" })));
        }
        this.waiting = [];
    }

    private async writeBatch(signal: AbortSignal): Promise<void> {
        const { replica } = this;
        if (signal.aborted || replica.term !== this.term) {
            return;
        }
        const entries = this.takeBatch();
        const appending = replica.log.append(entries);
        this.onAppended();
        const appended = await appending;
        if (appended.err) {
            replica.noteStorageFault(appended.val);
            replica.follow(undefined, "its disk takes no entries");
            return;
        }
        this.onAppended();
    }

    private takeBatch(): readonly LogEntry[] {
        const entries: LogEntry[] = [];
        let bytes = 0;
        while (bytes < maximumBatchBytes) {
            const proposal = this.waiting.shift();
            if (proposal === undefined) {
                break;
            }
            const position = this.replica.log.lastPosition + entries.length + 1;
            const entry: LogEntry = { ...proposal.content, position, term: this.term };
            proposal.onPlaced(Ok(position));
            entries.push(entry);
            bytes += entryBytes(entry);
        }
        return entries;
    }
}

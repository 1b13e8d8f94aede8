import type { PeerRequestOf, PeerResponse, PeerResponseOf } from "../../connection/peerMessage.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { isOutdated } from "./acknowledgedPositions.js";
import type { LogEntry } from "./logEntry.js";
import type { Replica } from "./replica.js";

/** Takes entries and heartbeats of the leader (Raft §5.3). */
export class AppendHandler {
    constructor(private readonly replica: Replica) {}

    /** Notes that the leader lives, and what it knows. */
    handleHeartbeat(request: PeerRequestOf<"heartbeat">, now: Milliseconds): PeerResponse {
        const { replica } = this;
        if (!replica.hearLeader(request.from, request.term, now)) {
            return { kind: "heartbeat", term: replica.term, accepted: false };
        }
        replica.acknowledged.note(request.term, request.acknowledged);
        this.haltIfOutdated();
        if (replica.log.termAt(request.commitPosition) === request.commitTerm) {
            // Entries that are being written are visible already, and gone again if the disk refuses them.
            replica.commit(Math.min(request.commitPosition, replica.log.syncedPosition));
        }
        return { kind: "heartbeat", term: request.term, accepted: true };
    }

    /** Takes entries; they are durable when the answer accepts them. */
    async handleAppend(request: PeerRequestOf<"append">, now: Milliseconds): Promise<PeerResponse> {
        if (!this.replica.hearLeader(request.from, request.term, now)) {
            return this.answer(false, 0);
        }
        return this.replica.storageQueue.run(async () => this.append(request));
    }

    /** Halts when the leader of the present term counted on entries that this disk no longer has. */
    private haltIfOutdated(): void {
        const { replica } = this;
        const known = replica.acknowledged.of(replica.memberId);
        const { lastPosition } = replica.log;
        if (known !== undefined && replica.role !== "leader" && isOutdated(replica.term, lastPosition, known)) {
            const data = { memberId: replica.memberId, acknowledged: known.position, now: lastPosition };
            replica.halt(failure("logFolderOutdated", data));
        }
    }

    private async append(request: PeerRequestOf<"append">): Promise<PeerResponse> {
        const { replica } = this;
        if (request.term !== replica.term || replica.halted !== undefined || !(await replica.saveTerm())) {
            return this.answer(false, replica.log.lastPosition);
        }
        const start = this.skipKnown(request);
        if (start === undefined) {
            return this.answer(false, this.hint(request.previousPosition));
        }
        const added = request.entries.slice(start);
        if (added.length > 0 && !(await this.store(added))) {
            return this.answer(false, replica.log.lastPosition);
        }
        const reached = request.previousPosition + request.entries.length;
        replica.commit(Math.min(request.commitPosition, reached));
        return this.answer(true, reached);
    }

    /** Number of leading entries that stand in the log already; undefined when the entry before them is missing. */
    private skipKnown(request: PeerRequestOf<"append">): number | undefined {
        const { log } = this.replica;
        const fromBase = Math.max(0, log.basePosition - request.previousPosition);
        if (fromBase === 0 && log.termAt(request.previousPosition) !== request.previousTerm) {
            return undefined;
        }
        const firstNew = request.entries.findIndex((entry, index) =>
            index >= fromBase && log.termAt(entry.position) !== entry.term
        );
        return firstNew < 0 ? request.entries.length : firstNew;
    }

    private async store(added: readonly LogEntry[]): Promise<boolean> {
        const { replica } = this;
        const first = added[0]?.position ?? 0;
        if (first <= replica.commitPosition) {
            replica.halt(failure("logDiverged", { position: first }));
            return false;
        }
        const stored = await replica.log.append(added);
        if (stored.err) {
            replica.noteStorageFault(stored.val);
        }
        return stored.ok;
    }

    /** A position behind which the leader may try next: before all entries of the conflicting term. */
    private hint(previousPosition: number): number {
        const { log } = this.replica;
        if (previousPosition > log.lastPosition) {
            return log.lastPosition;
        }
        const conflicting = log.termAt(previousPosition);
        let position = previousPosition - 1;
        while (position > this.replica.commitPosition && log.termAt(position) === conflicting) {
            position -= 1;
        }
        return Math.max(position, 0);
    }

    private answer(accepted: boolean, position: number): PeerResponseOf<"append"> {
        return { kind: "append", term: this.replica.term, accepted, position };
    }
}

import type { PeerRequestOf, PeerResponse, PeerResponseOf } from "../../connection/peerMessage.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { isOutdated } from "./acknowledgedPositions.js";
import type { LogEntry } from "./logEntry.js";
import type { Replica } from "./replica.js";

/** Handles append requests and heartbeats from the leader (Raft §5.3). */
export class AppendHandler {
    constructor(private readonly replica: Replica) {}

    /** Records contact with the leader, and the acknowledged and commit positions that it reports. */
    handleHeartbeat(request: PeerRequestOf<"heartbeat">, now: Milliseconds): PeerResponse {
        const { replica } = this;
        if (!replica.recordLeaderContact(request.from, request.term, now)) {
            return { kind: "heartbeat", term: replica.term, accepted: false };
        }
        replica.acknowledged.record(request.term, request.acknowledged);
        this.haltIfOutdated();
        if (replica.log.termAt(request.commitPosition) === request.commitTerm) {
            replica.commit(request.commitPosition);
        }
        return { kind: "heartbeat", term: request.term, accepted: true };
    }

    /** Appends entries to the log; they are durable once the response accepts them. */
    async handleAppend(request: PeerRequestOf<"append">, now: Milliseconds): Promise<PeerResponse> {
        if (!this.replica.recordLeaderContact(request.from, request.term, now)) {
            return this.createResponse(false, 0);
        }
        return this.replica.storageQueue.run(async () => this.append(request));
    }

    /**
     * Halts the member if the leader of the current term recorded entries as durable here that the disk no longer has.
     */
    private haltIfOutdated(): void {
        const { replica } = this;
        const acknowledged = replica.acknowledged.get(replica.memberId);
        const { lastPosition } = replica.log;
        if (
            acknowledged !== undefined && replica.role !== "leader"
            && isOutdated(replica.term, lastPosition, acknowledged)
        ) {
            const data = { memberId: replica.memberId, acknowledged: acknowledged.position, now: lastPosition };
            replica.halt(failure("logFolderOutdated", data));
        }
    }

    private async append(request: PeerRequestOf<"append">): Promise<PeerResponse> {
        const { replica } = this;
        if (request.term !== replica.term || replica.halted !== undefined || !(await replica.saveTerm())) {
            return this.createResponse(false, replica.log.lastPosition);
        }
        const storedCount = this.countStoredEntries(request);
        if (storedCount === undefined) {
            return this.createResponse(false, this.conflictHint(request.previousPosition));
        }
        const newEntries = request.entries.slice(storedCount);
        if (newEntries.length > 0 && !(await this.storeEntries(newEntries))) {
            return this.createResponse(false, replica.log.lastPosition);
        }
        const matchedPosition = request.previousPosition + request.entries.length;
        replica.commit(Math.min(request.commitPosition, matchedPosition));
        return this.createResponse(true, matchedPosition);
    }

    /** Number of leading entries that are already in the log; undefined when the entry before them does not match. */
    private countStoredEntries(request: PeerRequestOf<"append">): number | undefined {
        const { log } = this.replica;
        const compactedCount = Math.max(0, log.basePosition - request.previousPosition);
        if (compactedCount === 0 && log.termAt(request.previousPosition) !== request.previousTerm) {
            return undefined;
        }
        const firstNew = request.entries.findIndex((entry, index) =>
            index >= compactedCount && log.termAt(entry.position) !== entry.term
        );
        return firstNew < 0 ? request.entries.length : firstNew;
    }

    private async storeEntries(added: readonly LogEntry[]): Promise<boolean> {
        const { replica } = this;
        const first = added[0]?.position ?? 0;
        if (first <= replica.commitPosition) {
            replica.halt(failure("logDiverged", { position: first }));
            return false;
        }
        const stored = await replica.log.append(added);
        if (stored.err) {
            replica.handleStorageFailure(stored.val);
        }
        return stored.ok;
    }

    /** The position after which the leader should retry: before all entries of the conflicting term (Raft §5.3). */
    private conflictHint(previousPosition: number): number {
        const { log } = this.replica;
        if (previousPosition > log.lastPosition) {
            return log.lastPosition;
        }
        const conflictingTerm = log.termAt(previousPosition);
        let position = previousPosition - 1;
        while (position > this.replica.commitPosition && log.termAt(position) === conflictingTerm) {
            position -= 1;
        }
        return Math.max(position, 0);
    }

    private createResponse(accepted: boolean, position: number): PeerResponseOf<"append"> {
        return { kind: "append", term: this.replica.term, accepted, position };
    }
}

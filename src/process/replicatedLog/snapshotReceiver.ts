import type { PeerRequestOf, PeerResponse, PeerResponseOf } from "../../connection/peerMessage.js";
import type { Milliseconds } from "../../util/clock.js";
import type { LogSnapshot } from "./logSnapshot.js";
import { logSnapshotSchema } from "./logSnapshot.js";
import { decodeValue } from "./recordCodec.js";
import type { Replica } from "./replica.js";

/** Maximum size in bytes of a snapshot that a member accepts. */
const maximumSnapshotBytes = 1024 * 1024 * 1024;

/** A partially received snapshot. */
interface PartialSnapshot {
    readonly term: number;
    readonly position: number;
    readonly chunks: readonly Uint8Array[];
    readonly receivedBytes: number;
}

/** Receives a snapshot from the leader in chunks. */
export class SnapshotReceiver {
    private partial: PartialSnapshot | undefined;

    /** @param restore Restores the state machine from an installed snapshot; runs in the storage queue. */
    constructor(
        private readonly replica: Replica,
        private readonly restore: (snapshot: LogSnapshot) => void,
    ) {}

    /** Stores one chunk, and durably installs the snapshot after the last one. */
    async handleChunk(request: PeerRequestOf<"snapshotChunk">, now: Milliseconds): Promise<PeerResponse> {
        if (!this.replica.recordLeaderContact(request.from, request.term, now)) {
            return this.createResponse(0, false);
        }
        return this.replica.storageQueue.run(async () => this.storeChunk(request));
    }

    private async storeChunk(request: PeerRequestOf<"snapshotChunk">): Promise<PeerResponse> {
        const { replica } = this;
        if (request.term !== replica.term || replica.halted !== undefined || !(await replica.saveTerm())) {
            return this.createResponse(0, false);
        }
        const partial = this.partialFor(request);
        if (request.offset !== partial.receivedBytes || request.totalBytes > maximumSnapshotBytes) {
            return this.createResponse(partial.receivedBytes, false);
        }
        const receivedBytes = partial.receivedBytes + request.bytes.length;
        this.partial = { ...partial, chunks: [...partial.chunks, request.bytes], receivedBytes };
        if (receivedBytes < request.totalBytes) {
            return this.createResponse(receivedBytes, false);
        }
        const bytes = Buffer.concat(this.partial.chunks);
        this.partial = undefined;
        const installed = await this.install(logSnapshotSchema.parse(decodeValue(bytes)));
        return this.createResponse(installed ? receivedBytes : 0, installed);
    }

    private partialFor(request: PeerRequestOf<"snapshotChunk">): PartialSnapshot {
        const { partial } = this;
        if (partial?.term === request.term && partial.position === request.snapshotPosition) {
            return partial;
        }
        return { term: request.term, position: request.snapshotPosition, chunks: [], receivedBytes: 0 };
    }

    private async install(snapshot: LogSnapshot): Promise<boolean> {
        const { replica } = this;
        if (snapshot.position > replica.commitPosition) {
            const installed = await replica.log.install(snapshot);
            if (installed.err) {
                replica.handleStorageFailure(installed.val);
                return false;
            }
            this.restore(snapshot);
            replica.commit(snapshot.position);
            const bytes = snapshot.state.length;
            replica.events.write("snapshotInstalled", { group: replica.group, position: snapshot.position, bytes });
        }
        return true;
    }

    private createResponse(nextOffset: number, installed: boolean): PeerResponseOf<"snapshotChunk"> {
        return { kind: "snapshotChunk", term: this.replica.term, nextOffset, installed };
    }
}

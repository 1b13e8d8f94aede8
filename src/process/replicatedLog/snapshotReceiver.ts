import type { PeerRequestOf, PeerResponse, PeerResponseOf } from "../../connection/peerMessage.js";
import type { Milliseconds } from "../../util/clock.js";
import type { LogSnapshot } from "./logSnapshot.js";
import { logSnapshotSchema } from "./logSnapshot.js";
import { decodeValue } from "./recordCodec.js";
import type { Replica } from "./replica.js";

/** Largest snapshot that a member takes from a leader, in bytes. */
const maximumSnapshotBytes = 1024 * 1024 * 1024;

/** A snapshot of which some chunks have arrived. */
interface PartialSnapshot {
    readonly term: number;
    readonly position: number;
    readonly chunks: readonly Uint8Array[];
    readonly receivedBytes: number;
}

/** Takes a snapshot of the leader chunk by chunk. */
export class SnapshotReceiver {
    private partial: PartialSnapshot | undefined;

    /** @param restore Puts an installed snapshot into the state machine; runs in the storage queue. */
    constructor(
        private readonly replica: Replica,
        private readonly restore: (snapshot: LogSnapshot) => void,
    ) {}

    /** Takes one chunk, and installs the snapshot durably when it was the last one. */
    async handleChunk(request: PeerRequestOf<"snapshotChunk">, now: Milliseconds): Promise<PeerResponse> {
        if (!this.replica.hearLeader(request.from, request.term, now)) {
            return this.answer(0, false);
        }
        return this.replica.storageQueue.run(async () => this.take(request));
    }

    private async take(request: PeerRequestOf<"snapshotChunk">): Promise<PeerResponse> {
        const { replica } = this;
        if (request.term !== replica.term || replica.halted !== undefined || !(await replica.saveTerm())) {
            return this.answer(0, false);
        }
        const partial = this.partialOf(request);
        if (request.offset !== partial.receivedBytes || request.totalBytes > maximumSnapshotBytes) {
            return this.answer(partial.receivedBytes, false);
        }
        const receivedBytes = partial.receivedBytes + request.bytes.length;
        this.partial = { ...partial, chunks: [...partial.chunks, request.bytes], receivedBytes };
        if (receivedBytes < request.totalBytes) {
            return this.answer(receivedBytes, false);
        }
        const bytes = Buffer.concat(this.partial.chunks);
        this.partial = undefined;
        const installed = await this.install(logSnapshotSchema.parse(decodeValue(bytes)));
        return this.answer(installed ? receivedBytes : 0, installed);
    }

    private partialOf(request: PeerRequestOf<"snapshotChunk">): PartialSnapshot {
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
                replica.noteStorageFault(installed.val);
                return false;
            }
            this.restore(snapshot);
            replica.commit(snapshot.position);
            const bytes = snapshot.state.length;
            replica.events.write("snapshotInstalled", { group: replica.group, position: snapshot.position, bytes });
        }
        return true;
    }

    private answer(nextOffset: number, installed: boolean): PeerResponseOf<"snapshotChunk"> {
        return { kind: "snapshotChunk", term: this.replica.term, nextOffset, installed };
    }
}

import type { QueuedRequest } from "./teamQueue.js";

/** Finds the waiting requests of a key without a search through the queue. */
export class KeyIndex {
    private readonly byKey = new Map<string, Set<QueuedRequest>>();

    /** Adds a request; one without a key is not indexed. */
    add(queued: QueuedRequest): void {
        const key = keyOf(queued.request.team, queued.request.keyName);
        if (key === undefined) {
            return;
        }
        const members = this.byKey.get(key);
        if (members === undefined) {
            this.byKey.set(key, new Set([queued]));
        }
        else {
            members.add(queued);
        }
    }

    /** Removes a request. */
    delete(queued: QueuedRequest): void {
        const key = keyOf(queued.request.team, queued.request.keyName);
        const members = key === undefined ? undefined : this.byKey.get(key);
        if (key === undefined || members === undefined) {
            return;
        }
        members.delete(queued);
        if (members.size === 0) {
            this.byKey.delete(key);
        }
    }

    /** The waiting requests of a key. */
    of(team: string, keyName: string): readonly QueuedRequest[] {
        return [...this.byKey.get(keyOf(team, keyName) ?? "") ?? []];
    }
}

function keyOf(team: string | undefined, keyName: string | undefined): string | undefined {
    return team === undefined || keyName === undefined ? undefined : `${team}/${keyName}`;
}

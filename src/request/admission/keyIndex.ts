import type { QueuedRequest } from "./teamQueue.js";

/** Index of the waiting requests by API key, so that withdrawing a key needs no scan of the queue. */
export class KeyIndex {
    private readonly requestsByKey = new Map<string, Set<QueuedRequest>>();

    /** Adds a request; a request without a key is ignored. */
    add(queued: QueuedRequest): void {
        const key = indexKeyOf(queued.request.team, queued.request.keyName);
        if (key === undefined) {
            return;
        }
        const requests = this.requestsByKey.get(key);
        if (requests === undefined) {
            this.requestsByKey.set(key, new Set([queued]));
        }
        else {
            requests.add(queued);
        }
    }

    /** Removes a request; a request without a key is ignored. */
    delete(queued: QueuedRequest): void {
        const key = indexKeyOf(queued.request.team, queued.request.keyName);
        const requests = key === undefined ? undefined : this.requestsByKey.get(key);
        if (key === undefined || requests === undefined) {
            return;
        }
        requests.delete(queued);
        if (requests.size === 0) {
            this.requestsByKey.delete(key);
        }
    }

    /** Returns the waiting requests of a key. */
    requestsOf(team: string, keyName: string): readonly QueuedRequest[] {
        return [...this.requestsByKey.get(indexKeyOf(team, keyName) ?? "") ?? []];
    }
}

function indexKeyOf(team: string | undefined, keyName: string | undefined): string | undefined {
    return team === undefined || keyName === undefined ? undefined : `${team}/${keyName}`;
}

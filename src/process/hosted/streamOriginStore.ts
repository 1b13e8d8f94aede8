import type { Milliseconds } from "../../util/clock.js";
import type { StreamOrigin } from "./streamOrigin.js";

/** Fraction of the largest team's streams that are dropped at once if the store is full. */
const evictedFraction = 1 / 16;

interface StoredOrigin {
    readonly origin: StreamOrigin;
    readonly expiresAt: Milliseconds;
}

/**
 * Origins of streams, by team and the id of the call that began them.
 *
 * Bounded: if the store is full, the team with the most streams loses its oldest ones, so that no team can evict the
 * streams of others.
 */
export class StreamOriginStore {
    private readonly originsByTeam = new Map<string, Map<string, StoredOrigin>>();
    private storedCount = 0;

    /** @param capacity Maximum number of streams. */
    constructor(private readonly capacity: number) {}

    /** Number of streams, including expired ones that were not removed yet. */
    get size(): number {
        return this.storedCount;
    }

    record(team: string, callId: string, origin: StreamOrigin, expiresAt: Milliseconds): void {
        const origins = this.originsByTeam.get(team) ?? new Map<string, StoredOrigin>();
        this.originsByTeam.set(team, origins);
        this.storedCount += origins.delete(callId) ? 0 : 1;
        origins.set(callId, { origin, expiresAt });
        if (this.storedCount > this.capacity) {
            this.evictFromLargestTeam();
        }
    }

    find(team: string, callId: string, now: Milliseconds): StreamOrigin | undefined {
        const stored = this.originsByTeam.get(team)?.get(callId);
        return stored !== undefined && now < stored.expiresAt ? stored.origin : undefined;
    }

    /** Removes expired streams. */
    prune(now: Milliseconds): void {
        for (const [team, origins] of this.originsByTeam) {
            for (const [callId, { expiresAt }] of origins) {
                if (now >= expiresAt) {
                    this.remove(team, origins, callId);
                }
            }
        }
    }

    private evictFromLargestTeam(): void {
        const [first, ...others] = this.originsByTeam;
        if (first === undefined) {
            return;
        }
        const [team, origins] = others.reduce((a, b) => b[1].size > a[1].size ? b : a, first);
        let evicted = Math.ceil(origins.size * evictedFraction);
        for (const callId of origins.keys()) {
            this.remove(team, origins, callId);
            if (--evicted <= 0) {
                return;
            }
        }
    }

    private remove(team: string, origins: Map<string, StoredOrigin>, callId: string): void {
        origins.delete(callId);
        this.storedCount--;
        if (origins.size === 0) {
            this.originsByTeam.delete(team);
        }
    }
}

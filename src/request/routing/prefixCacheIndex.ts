import type { EndpointState } from "../../process/entry/endpointState.js";

/** One published change of an endpoint's prefix cache. */
export interface CacheEvent {
    readonly number: number;
    readonly kind: "stored" | "evicted";
    readonly prefixDigest: string;
}

/** Digests remembered for one endpoint at most; the oldest go first. */
const maximumDigests = 4_096;

interface Known {
    through: number;
    readonly digests: Set<string>;
}

/**
 * What cache events say of the prefixes that endpoints hold; hints, since events are late and some are lost.
 *
 * A gap in an endpoint's numbers voids what was known of it, because the lost event may have been an eviction.
 */
export class PrefixCacheIndex {
    private readonly known = new Map<EndpointState, Known>();
    private readonly holders = new Map<string, Set<EndpointState>>();

    /** Number of the last event of an endpoint that was taken in; 0 before the first. */
    through(endpoint: EndpointState): number {
        return this.known.get(endpoint)?.through ?? 0;
    }

    /**
     * Takes in the events of an endpoint after those known.
     *
     * @param last Number of the newest event that the endpoint made, whether it is among the given ones or not.
     */
    applyEvents(endpoint: EndpointState, events: readonly CacheEvent[], last: number): void {
        const known = this.known.get(endpoint) ?? { through: 0, digests: new Set<string>() };
        this.known.set(endpoint, known);
        if (last < known.through) {
            // The endpoint was restarted and counts from the beginning.
            this.forget(endpoint, known);
            known.through = 0;
        }
        for (const event of events) {
            if (event.number > known.through) {
                this.takeOne(endpoint, known, event);
            }
        }
        if (last > known.through) {
            this.forget(endpoint, known);
            known.through = last;
        }
    }

    /** The endpoints that hold a prefix, as far as known. */
    holdersOf(prefixDigest: string): ReadonlySet<EndpointState> | undefined {
        return this.holders.get(prefixDigest);
    }

    /** Forgets endpoints that are no longer in use. */
    retainEndpoints(endpoints: ReadonlySet<EndpointState>): void {
        for (const [endpoint, known] of this.known) {
            if (!endpoints.has(endpoint)) {
                this.forget(endpoint, known);
                this.known.delete(endpoint);
            }
        }
    }

    private takeOne(endpoint: EndpointState, known: Known, event: CacheEvent): void {
        if (event.number > known.through + 1) {
            this.forget(endpoint, known);
        }
        known.through = event.number;
        if (event.kind === "evicted") {
            this.remove(endpoint, known, event.prefixDigest);
            return;
        }
        known.digests.add(event.prefixDigest);
        const holders = this.holders.get(event.prefixDigest) ?? new Set();
        holders.add(endpoint);
        this.holders.set(event.prefixDigest, holders);
        this.bound(endpoint, known);
    }

    private bound(endpoint: EndpointState, known: Known): void {
        const [oldest] = known.digests;
        if (known.digests.size > maximumDigests && oldest !== undefined) {
            this.remove(endpoint, known, oldest);
        }
    }

    private forget(endpoint: EndpointState, known: Known): void {
        for (const digest of [...known.digests]) {
            this.remove(endpoint, known, digest);
        }
    }

    private remove(endpoint: EndpointState, known: Known, digest: string): void {
        known.digests.delete(digest);
        const holders = this.holders.get(digest);
        holders?.delete(endpoint);
        if (holders?.size === 0) {
            this.holders.delete(digest);
        }
    }
}

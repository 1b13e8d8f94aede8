import type { EndpointState } from "../../process/entry/endpointState.js";

/** A change of an endpoint's prefix cache, as published by the endpoint. */
export interface CacheEvent {
    readonly number: number;
    readonly kind: "stored" | "evicted";
    readonly prefixDigest: string;
}

/** Maximum number of digests that are stored for one endpoint; the oldest are evicted first. */
const maximumDigestsPerEndpoint = 4_096;

interface KnownPrefixes {
    lastEventNumber: number;
    readonly digests: Set<string>;
}

/**
 * Index of the prefixes that endpoints have cached, built from their cache events.
 *
 * The index is approximate, since events arrive late and some are lost. A gap in an endpoint's event numbers clears its
 * prefixes, because a lost event may have been an eviction.
 */
export class PrefixCacheIndex {
    private readonly prefixesByEndpoint = new Map<EndpointState, KnownPrefixes>();
    private readonly endpointsByDigest = new Map<string, Set<EndpointState>>();

    /** Number of the last applied event of an endpoint; 0 before the first. */
    lastEventNumber(endpoint: EndpointState): number {
        return this.prefixesByEndpoint.get(endpoint)?.lastEventNumber ?? 0;
    }

    /**
     * Applies the events of an endpoint that are newer than the last applied one.
     *
     * @param newestEventNumber Number of the endpoint's newest event, which need not be among the given ones.
     */
    applyEvents(endpoint: EndpointState, events: readonly CacheEvent[], newestEventNumber: number): void {
        const known = this.prefixesByEndpoint.get(endpoint) ?? { lastEventNumber: 0, digests: new Set<string>() };
        this.prefixesByEndpoint.set(endpoint, known);
        if (newestEventNumber < known.lastEventNumber) {
            // The endpoint has restarted, and its event numbers start again.
            this.clearPrefixes(endpoint, known);
            known.lastEventNumber = 0;
        }
        for (const event of events) {
            if (event.number > known.lastEventNumber) {
                this.applyEvent(endpoint, known, event);
            }
        }
        if (newestEventNumber > known.lastEventNumber) {
            this.clearPrefixes(endpoint, known);
            known.lastEventNumber = newestEventNumber;
        }
    }

    /** The endpoints that are known to have a prefix cached. */
    endpointsWithPrefix(prefixDigest: string): ReadonlySet<EndpointState> | undefined {
        return this.endpointsByDigest.get(prefixDigest);
    }

    /** Removes all endpoints but the given ones. */
    retainEndpoints(endpoints: ReadonlySet<EndpointState>): void {
        for (const [endpoint, known] of this.prefixesByEndpoint) {
            if (!endpoints.has(endpoint)) {
                this.clearPrefixes(endpoint, known);
                this.prefixesByEndpoint.delete(endpoint);
            }
        }
    }

    private applyEvent(endpoint: EndpointState, known: KnownPrefixes, event: CacheEvent): void {
        if (event.number > known.lastEventNumber + 1) {
            this.clearPrefixes(endpoint, known);
        }
        known.lastEventNumber = event.number;
        if (event.kind === "evicted") {
            this.removePrefix(endpoint, known, event.prefixDigest);
            return;
        }
        known.digests.add(event.prefixDigest);
        const holders = this.endpointsByDigest.get(event.prefixDigest) ?? new Set();
        holders.add(endpoint);
        this.endpointsByDigest.set(event.prefixDigest, holders);
        this.evictOldest(endpoint, known);
    }

    private evictOldest(endpoint: EndpointState, known: KnownPrefixes): void {
        const [oldest] = known.digests;
        if (known.digests.size > maximumDigestsPerEndpoint && oldest !== undefined) {
            this.removePrefix(endpoint, known, oldest);
        }
    }

    private clearPrefixes(endpoint: EndpointState, known: KnownPrefixes): void {
        for (const digest of [...known.digests]) {
            this.removePrefix(endpoint, known, digest);
        }
    }

    private removePrefix(endpoint: EndpointState, known: KnownPrefixes, digest: string): void {
        known.digests.delete(digest);
        const holders = this.endpointsByDigest.get(digest);
        holders?.delete(endpoint);
        if (holders?.size === 0) {
            this.endpointsByDigest.delete(digest);
        }
    }
}

import type { EndpointState } from "../../process/entry/endpointState.js";
import { hashText, mixBits } from "./hashText.js";

interface Cluster {
    readonly seed: number;
    readonly members: Member[];
}

interface Member {
    readonly endpoint: EndpointState;
    readonly seed: number;
}

/** Turns a 32-bit integer into a number in (0, 1). */
const unit = 2 ** -32;

/**
 * Finds the endpoints that a prefix prefers, by rendezvous hashing (Thaler and Ravishankar, 1998).
 *
 * Two levels, clusters of endpoints and then the endpoints of one cluster, cost the square root of the number of
 * endpoints in place of their number (compare Wang and Ravishankar, "Efficient and Scalable Hashing", 2009). A cluster
 * is weighted by its size. Every entry ranks the same endpoints alike.
 */
export class RendezvousTable {
    private readonly clusters: readonly Cluster[];

    /** @param endpoints The endpoints of a pool. */
    constructor(endpoints: readonly EndpointState[]) {
        const count = 2 ** Math.floor(Math.log2(Math.max(1, endpoints.length)) / 2);
        const clusters = Array.from(Array(count).keys(), (index): Cluster => ({
            seed: mixBits(index + 1),
            members: [],
        }));
        for (const endpoint of endpoints) {
            const seed = hashText(endpoint.name);
            clusters[seed % count]?.members.push({ endpoint, seed: mixBits(seed) });
        }
        this.clusters = clusters.filter(cluster => cluster.members.length > 0);
    }

    /**
     * The endpoints that a prefix prefers, best first.
     *
     * @param prefixHash A 32-bit hash of the prefix.
     * @param count Number of endpoints that are wanted; fewer are returned where the cluster has fewer.
     */
    preferred(prefixHash: number, count: number): readonly EndpointState[] {
        const cluster = this.bestCluster(prefixHash);
        const best: { readonly member: Member; readonly score: number; }[] = [];
        for (const member of cluster?.members ?? []) {
            const score = mixBits(prefixHash ^ member.seed);
            if (best.length < count || score > (best.at(-1)?.score ?? 0)) {
                best.push({ member, score });
                best.sort((left, right) => right.score - left.score);
                best.length = Math.min(best.length, count);
            }
        }
        return best.map(({ member }) => member.endpoint);
    }

    /** Weighted rendezvous hashing: the score is -weight / ln(u) with u uniform in (0, 1). */
    private bestCluster(prefixHash: number): Cluster | undefined {
        let best: Cluster | undefined;
        let bestScore = 0;
        for (const cluster of this.clusters) {
            const uniform = (mixBits(prefixHash ^ cluster.seed) + 0.5) * unit;
            const score = -cluster.members.length / Math.log(uniform);
            if (score > bestScore) {
                best = cluster;
                bestScore = score;
            }
        }
        return best;
    }
}

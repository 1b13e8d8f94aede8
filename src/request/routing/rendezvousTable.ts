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

/** Factor that scales an unsigned 32-bit integer to [0, 1), and the integer plus 0.5 to (0, 1). */
const uint32Scale = 2 ** -32;

/**
 * Maps prefixes to endpoints by rendezvous hashing (Thaler and Ravishankar, 1998).
 *
 * The table has two levels, clusters of endpoints and the endpoints of a cluster, so that a lookup takes time
 * proportional to the square root of the number of endpoints instead of their number (compare Wang and Ravishankar,
 * "Efficient and Scalable Hashing", 2009). Clusters are weighted by their size. All entries with the same endpoints
 * compute the same ranking.
 */
export class RendezvousTable {
    private readonly clusters: readonly Cluster[];

    /** @param endpoints All endpoints of a pool. */
    constructor(endpoints: readonly EndpointState[]) {
        const clusterCount = 2 ** Math.floor(Math.log2(Math.max(1, endpoints.length)) / 2);
        const clusters = Array.from(Array(clusterCount).keys(), (index): Cluster => ({
            seed: mixBits(index + 1),
            members: [],
        }));
        for (const endpoint of endpoints) {
            const seed = hashText(endpoint.name);
            clusters[seed % clusterCount]?.members.push({ endpoint, seed: mixBits(seed) });
        }
        this.clusters = clusters.filter(cluster => cluster.members.length > 0);
    }

    /**
     * The endpoints with the highest scores for a prefix, highest first; all are from one cluster.
     *
     * @param prefixHash Unsigned 32-bit hash of the prefix.
     * @param count Maximum number of endpoints; fewer are returned if the cluster is smaller.
     */
    preferredEndpoints(prefixHash: number, count: number): readonly EndpointState[] {
        const cluster = this.highestScoringCluster(prefixHash);
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
    private highestScoringCluster(prefixHash: number): Cluster | undefined {
        let best: Cluster | undefined;
        let bestScore = 0;
        for (const cluster of this.clusters) {
            const uniform = (mixBits(prefixHash ^ cluster.seed) + 0.5) * uint32Scale;
            const score = -cluster.members.length / Math.log(uniform);
            if (score > bestScore) {
                best = cluster;
                bestScore = score;
            }
        }
        return best;
    }
}

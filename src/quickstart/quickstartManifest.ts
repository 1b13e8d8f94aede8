import { keyDigest } from "../util/keyDigest.js";

/** Variable parts of the quickstart manifest. */
export interface QuickstartManifestOptions {
    readonly number: number;
    /** API keys of the two teams, in plain text; the manifest contains only their digests. */
    readonly keys: readonly [string, string];
    readonly engineAddresses: readonly string[];
    readonly serviceAddress: string;
}

/** Creates a manifest with two teams, three classes, a model route and a service route. */
export function createQuickstartManifest(options: QuickstartManifestOptions): object {
    const { number, keys, engineAddresses, serviceAddress } = options;
    return {
        number,
        teams: ["glenorchy", "kingborough"].map((name, index) => ({
            name,
            keys: [{ name: "main", digest: keyDigest(keys[index] ?? "") }],
        })),
        classes: [
            { name: "bookings", tier: 0, target: { totalMilliseconds: 2000 } },
            { name: "drafts", tier: 1, target: { firstTokenMilliseconds: 400, totalMilliseconds: 8000 } },
            { name: "summaries", tier: 3, preemptible: true, target: { totalMilliseconds: 30_000 } },
        ],
        routes: [
            {
                name: "drafting",
                kind: "model",
                model: "drafting",
                pool: "engines",
                requestClass: "drafts",
                classes: ["summaries"],
                teams: "all",
            },
            {
                name: "bookings",
                kind: "service",
                pathPrefix: "/bookings",
                pool: "bookings",
                requestClass: "bookings",
                teams: "all",
            },
        ],
        pools: [
            {
                name: "engines",
                kind: "model",
                model: "drafting",
                endpoints: engineAddresses.map((address, index) => ({
                    name: `engine-${index + 1}`,
                    address,
                    failureDomain: "hobart-a",
                })),
            },
            {
                name: "bookings",
                kind: "service",
                endpoints: [{ name: "bookings-1", address: serviceAddress, failureDomain: "hobart-b" }],
            },
        ],
        billing: {
            currency: "AUD",
            cutPerMillion: 50_000,
            prices: [
                { requestClass: "bookings", perRequest: 2_000 },
                { requestClass: "drafts", perMillionPromptTokens: 900_000, perMillionOutputTokens: 3_600_000 },
                { requestClass: "summaries", perMillionPromptTokens: 600_000, perMillionOutputTokens: 2_400_000 },
            ],
        },
    };
}

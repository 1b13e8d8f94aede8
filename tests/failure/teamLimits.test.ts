import { Cluster } from "../../src/quickstart/cluster.js";
import { createQuickstartManifest } from "../../src/quickstart/quickstartManifest.js";
import { describe, it } from "../describe.js";
import { callEntry, startTestedCluster, submitManifest, waitUntilInForce } from "./testedCluster.js";

/** Rate limit of the limited team over all entries; low enough for the burst of the test to exceed it. */
const requestsPerSecond = 1;
const requestCount = 60;

describe("rate limits of teams across entries", () => {
    it("refuse excess requests with Retry-After, and do not affect other teams", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        const manifest = createQuickstartManifest({ ...tested, number: 1 }) as { readonly teams: readonly object[]; };
        const [limited, unlimited] = manifest.teams;
        const teams = [{ ...limited, limits: { requestsPerSecond } }, unlimited];
        const accepted = await submitManifest(tested, JSON.stringify({ ...manifest, teams }));
        t.is((await waitUntilInForce(tested, accepted)).status, 200);

        const addresses = cluster.entryAddresses;
        const responses = await Promise.all(
            [...Array(requestCount).keys()].map(index =>
                callEntry(addresses[index % addresses.length] ?? "", tested.keys[0], "/bookings/places", "{}")
            ),
        );
        const refused = responses.filter(response => response.status === 429);
        t.true(refused.length > 0);
        t.true(refused.every(response => response.headers["x-outcome"] === "notRun"));
        t.true(refused.every(response => Number(response.headers["retry-after"]) >= 1));
        const otherResponses = await Promise.all(
            addresses.map(address => callEntry(address, tested.keys[1], "/bookings/places", "{}")),
        );
        t.deepEqual(otherResponses.map(response => response.status), addresses.map(() => 200));
    });
});

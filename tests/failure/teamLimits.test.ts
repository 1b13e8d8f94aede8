import { Cluster } from "../../src/quickstart/cluster.js";
import { createQuickstartManifest } from "../../src/quickstart/quickstartManifest.js";
import { describe, it } from "../describe.js";
import { callEntry, startTestedCluster, submit, waitInForce } from "./clusterCalls.js";

/** Requests a second that the limited team may send over all entries; so low that a burst must exceed it. */
const requestsPerSecond = 1;
const requestsSent = 60;

describe("limits of teams over several entries", () => {
    it("refuse what exceeds them, with a time to come back, and leave other teams alone", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        const manifest = createQuickstartManifest({ ...tested, number: 1 }) as { readonly teams: readonly object[]; };
        const [limited, free] = manifest.teams;
        const teams = [{ ...limited, limits: { requestsPerSecond } }, free];
        const accepted = await submit(tested, JSON.stringify({ ...manifest, teams }));
        t.is((await waitInForce(tested, accepted)).status, 200);

        const addresses = cluster.entryAddresses;
        const answers = await Promise.all(
            [...Array(requestsSent).keys()].map(index =>
                callEntry(addresses[index % addresses.length] ?? "", tested.keys[0], "/bookings/places", "{}")
            ),
        );
        const refused = answers.filter(answer => answer.status === 429);
        t.true(refused.length > 0);
        t.true(refused.every(answer => answer.headers["x-outcome"] === "notRun"));
        t.true(refused.every(answer => Number(answer.headers["retry-after"]) >= 1));
        const others = await Promise.all(
            addresses.map(address => callEntry(address, tested.keys[1], "/bookings/places", "{}")),
        );
        t.deepEqual(others.map(answer => answer.status), addresses.map(() => 200));
    });
});

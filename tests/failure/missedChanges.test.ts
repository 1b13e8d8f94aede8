import { Cluster } from "../../src/quickstart/cluster.js";
import { keyDigest } from "../../src/util/keyDigest.js";
import { describe, it } from "../describe.js";
import {
    callOperatorApi,
    createManifestText,
    findLeader,
    requestChatStatus,
    startTestedCluster,
    submitManifest,
    waitUntil,
    waitUntilInForce,
} from "./testedCluster.js";
import type { OperatorResponse, TestedCluster } from "./testedCluster.js";

const missedChangeCount = 500;

describe("processes that missed hundreds of changes", () => {
    it("catch up before they serve, and lead with all accepted changes", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        t.is((await waitUntilInForce(tested, await submitManifest(tested, createManifestText(tested, 1)))).status, 200);
        const [lateControl] = cluster.controls;
        const [lateEntry] = cluster.entries;
        await lateEntry?.kill();
        await lateControl?.kill();
        const last = await issueAndWithdrawKeys(tested);

        await Promise.all([lateControl?.start(), lateEntry?.start()]);
        await waitUntil(async () => await requestChatStatus(cluster.entryAddresses[0] ?? "", tested.keys[1]) === 200);
        t.is(await requestChatStatus(cluster.entryAddresses[0] ?? "", tested.keys[0]), 401);

        // From here on every quorum must include the late control process.
        const others = cluster.controls.filter(control => control !== lateControl);
        await others[0]?.kill();
        const status = await callOperatorApi(tested, { method: "GET", path: "/v1/status" });
        t.is(status.body["version"], last.body["version"]);
        t.truthy(await findLeader(tested));
        const next = await submitManifest(tested, createManifestText(tested, 2));
        t.is(next.status, 200);
        t.is(Number(next.body["version"]), Number(last.body["version"]) + 1);
        t.is((await waitUntilInForce(tested, next)).status, 200);
        t.is(await requestChatStatus(cluster.entryAddresses[1] ?? "", tested.keys[0]), 401);
    });
});

/** Issues many keys and withdraws the first key of the manifest; returns the response to the withdrawal. */
async function issueAndWithdrawKeys(tested: TestedCluster): Promise<OperatorResponse> {
    for (let change = 1; change < missedChangeCount; change++) {
        const digest = keyDigest(`key ${change}`);
        const body = JSON.stringify({ team: "glenorchy", name: `key-${change}`, digest });
        await callOperatorApi(tested, { method: "POST", path: "/v1/keys/issue", body });
    }
    const body = JSON.stringify({ digest: keyDigest(tested.keys[0]) });
    return callOperatorApi(tested, { method: "POST", path: "/v1/keys/withdraw", body });
}

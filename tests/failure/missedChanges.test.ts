import { Cluster } from "../../src/quickstart/cluster.js";
import { keyDigest } from "../../src/util/keyDigest.js";
import { describe, it } from "../describe.js";
import {
    chatStatus,
    leader,
    manifestText,
    operate,
    startTestedCluster,
    submit,
    until,
    waitInForce,
} from "./clusterCalls.js";
import type { OperatorAnswer, TestedCluster } from "./clusterCalls.js";

const missedChanges = 500;

describe("processes that missed hundreds of changes", () => {
    it("catch up before they serve, and lead with everything that was accepted", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        t.is((await waitInForce(tested, await submit(tested, manifestText(tested, 1)))).status, 200);
        const [lateControl] = cluster.controls;
        const [lateEntry] = cluster.entries;
        await lateEntry?.kill();
        await lateControl?.kill();
        const last = await issueAndWithdraw(tested);

        await Promise.all([lateControl?.start(), lateEntry?.start()]);
        await until(async () => await chatStatus(cluster.entryAddresses[0] ?? "", tested.keys[1]) === 200);
        t.is(await chatStatus(cluster.entryAddresses[0] ?? "", tested.keys[0]), 401);

        // The late control process must be needed for every quorum from here on.
        const others = cluster.controls.filter(control => control !== lateControl);
        await others[0]?.kill();
        const status = await operate(tested, { method: "GET", path: "/v1/status" });
        t.is(status.body["version"], last.body["version"]);
        t.truthy(await leader(tested));
        const next = await submit(tested, manifestText(tested, 2));
        t.is(next.status, 200);
        t.is(Number(next.body["version"]), Number(last.body["version"]) + 1);
        t.is((await waitInForce(tested, next)).status, 200);
        t.is(await chatStatus(cluster.entryAddresses[1] ?? "", tested.keys[0]), 401);
    });
});

/** Makes many changes, the last of which withdraws the first key. */
async function issueAndWithdraw(tested: TestedCluster): Promise<OperatorAnswer> {
    for (let change = 1; change < missedChanges; change++) {
        const digest = keyDigest(`key ${change}`);
        const body = JSON.stringify({ team: "glenorchy", name: `key-${change}`, digest });
        await operate(tested, { method: "POST", path: "/v1/keys/issue", body });
    }
    const body = JSON.stringify({ digest: keyDigest(tested.keys[0]) });
    return operate(tested, { method: "POST", path: "/v1/keys/withdraw", body });
}

import { Cluster } from "../../src/quickstart/cluster.js";
import { describe, it } from "../describe.js";
import { callEntry, chatStatus, manifestText, startTestedCluster, submit, until, waitInForce } from "./clusterCalls.js";

describe("entries that no control process confirms", () => {
    it("refuse with the outcome not run once their permit has lapsed, and serve again later", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        t.is((await waitInForce(tested, await submit(tested, manifestText(tested, 1)))).status, 200);
        cluster.controls.forEach(control => {
            control.startedProgram.suspend();
        });
        for (const address of cluster.entryAddresses) {
            await until(async () => await chatStatus(address, tested.keys[0]) === 503);
            const refused = await callEntry(address, tested.keys[0], "/bookings/places", "{}");
            t.is(refused.status, 503);
            t.is(refused.headers["x-outcome"], "notRun");
        }
        cluster.controls.forEach(control => {
            control.startedProgram.resume();
        });
        for (const address of cluster.entryAddresses) {
            await until(async () => await chatStatus(address, tested.keys[0]) === 200);
        }
        t.pass();
    });
});

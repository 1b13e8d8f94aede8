import { Cluster } from "../../src/quickstart/cluster.js";
import { describe, it } from "../describe.js";
import {
    callEntry,
    createManifestText,
    requestChatStatus,
    startTestedCluster,
    submitManifest,
    waitUntil,
    waitUntilInForce,
} from "./testedCluster.js";

describe("entries without contact to a control process", () => {
    it("refuse calls with the outcome notRun once their permit has expired, and serve again later", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        t.is((await waitUntilInForce(tested, await submitManifest(tested, createManifestText(tested, 1)))).status, 200);
        cluster.controls.forEach(control => {
            control.startedProgram.suspend();
        });
        for (const address of cluster.entryAddresses) {
            await waitUntil(async () => await requestChatStatus(address, tested.keys[0]) === 503);
            const rejected = await callEntry(address, tested.keys[0], "/bookings/places", "{}");
            t.is(rejected.status, 503);
            t.is(rejected.headers["x-outcome"], "notRun");
        }
        cluster.controls.forEach(control => {
            control.startedProgram.resume();
        });
        for (const address of cluster.entryAddresses) {
            await waitUntil(async () => await requestChatStatus(address, tested.keys[0]) === 200);
        }
        t.pass();
    });
});

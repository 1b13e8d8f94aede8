import type { MemberOverview } from "../../src/connection/control/operatorMessages.js";
import { Cluster } from "../../src/quickstart/cluster.js";
import { describe, it } from "../describe.js";
import { callOperatorApi, createManifestText, startTestedCluster, submitManifest, waitUntil } from "./testedCluster.js";
import type { TestedCluster } from "./testedCluster.js";

describe("loss of a control process's disk", () => {
    it("keeps all accepted changes when a second VM is lost right after the first one has recovered", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        const [lost, second] = cluster.controls;
        const first = await submitManifest(tested, createManifestText(tested, 1));
        t.is(first.status, 200);
        const before = await voters(tested);
        t.is(before.length, 3);

        await lost?.kill();
        await lost?.deleteDataFolder();
        t.is((await submitManifest(tested, createManifestText(tested, 2))).status, 200);
        await lost?.start();
        // Recovery is complete once the new member, which must have a new id, is a voter.
        await waitUntil(async () => {
            const now = await voters(tested);
            return now.length === 3 && now.some(member => !before.includes(member));
        });
        const accepted = await submitManifest(tested, createManifestText(tested, 3));
        t.is(accepted.status, 200);
        await second?.kill();

        const repeated = await submitManifest(tested, createManifestText(tested, 3));
        t.deepEqual(repeated.body, { version: accepted.body["version"], repeated: true });
        const firstAgain = await submitManifest(tested, createManifestText(tested, 1));
        t.deepEqual(firstAgain.body, { version: first.body["version"], repeated: true });
        t.is((await submitManifest(tested, createManifestText(tested, 4))).status, 200);
    });
});

/** Returns the ids of the voting members. */
async function voters(tested: TestedCluster): Promise<readonly string[]> {
    const { body } = await callOperatorApi(tested, { method: "GET", path: "/v1/status" });
    const members = (body["members"] ?? []) as readonly MemberOverview[];
    return members.filter(member => member.role === "voter").map(member => member.memberId);
}

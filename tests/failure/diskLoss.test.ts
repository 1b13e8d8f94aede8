import type { MemberOverview } from "../../src/connection/control/operatorMessages.js";
import { Cluster } from "../../src/quickstart/cluster.js";
import { describe, it } from "../describe.js";
import { manifestText, operate, startTestedCluster, submit, until } from "./clusterCalls.js";
import type { TestedCluster } from "./clusterCalls.js";

describe("loss of a control process's disk", () => {
    it("keeps everything accepted when a second VM is lost right after the repair of the first", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        const [lost, second] = cluster.controls;
        const first = await submit(tested, manifestText(tested, 1));
        t.is(first.status, 200);
        const before = await voters(tested);
        t.is(before.length, 3);

        await lost?.kill();
        await lost?.deleteDataFolder();
        t.is((await submit(tested, manifestText(tested, 2))).status, 200);
        await lost?.start();
        // The repair is done once the new member votes; its identity must be another one.
        await until(async () => {
            const now = await voters(tested);
            return now.length === 3 && now.some(member => !before.includes(member));
        });
        const accepted = await submit(tested, manifestText(tested, 3));
        t.is(accepted.status, 200);
        await second?.kill();

        const repeated = await submit(tested, manifestText(tested, 3));
        t.deepEqual(repeated.body, { version: accepted.body["version"], repeated: true });
        const firstAgain = await submit(tested, manifestText(tested, 1));
        t.deepEqual(firstAgain.body, { version: first.body["version"], repeated: true });
        t.is((await submit(tested, manifestText(tested, 4))).status, 200);
    });
});

/** Identities of the members that vote. */
async function voters(tested: TestedCluster): Promise<readonly string[]> {
    const { body } = await operate(tested, { method: "GET", path: "/v1/status" });
    const members = (body["members"] ?? []) as readonly MemberOverview[];
    return members.filter(member => member.role === "voter").map(member => member.memberId);
}

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

/** A manifest that one of several concurrent operators submitted, and the response. */
interface Submission {
    readonly operator: number;
    readonly number: number;
    readonly response: OperatorResponse;
}

const operatorNumbers = [1, 2, 3] as const;
const lastManifestNumber = 12;

describe("loss of the leading control process", () => {
    it("accepts one content per manifest number when operators race and the leader is killed", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        const history = await submitWhileLeaderIsKilled(tested);

        for (let number = 1; number <= lastManifestNumber; number++) {
            const accepted = history.filter(entry => entry.number === number && entry.response.status === 200);
            const acceptedOperators = new Set(accepted.map(entry => entry.operator));
            t.true(
                acceptedOperators.size <= 1,
                `number ${number} was accepted with ${acceptedOperators.size} contents`,
            );
            t.true(new Set(accepted.map(entry => entry.response.body["version"])).size <= 1);
        }
        const inOrder = history
            .filter(entry => entry.response.status === 200)
            .sort((left, right) => left.number - right.number)
            .map(entry => Number(entry.response.body["version"]));
        t.deepEqual(inOrder, [...inOrder].sort((left, right) => left - right));
        t.true(history.every(entry => [200, 409].includes(entry.response.status)));
        const final = history.find(entry => entry.number === lastManifestNumber && entry.response.status === 200);
        t.truthy(final);
        const repeated = await submitManifest(tested, createManifestText(tested, lastManifestNumber, final?.operator));
        t.deepEqual(repeated.body, { version: final?.response.body["version"], repeated: true });
    });

    it("refuses a key withdrawn while the old leader was suspended, also after it has resumed", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        t.is((await waitUntilInForce(tested, await submitManifest(tested, createManifestText(tested, 1)))).status, 200);
        const suspendedLeader = await findLeader(tested);
        suspendedLeader.startedProgram.suspend();

        const body = JSON.stringify({ digest: keyDigest(tested.keys[0]) });
        const withdrawn = await callOperatorApi(tested, { method: "POST", path: "/v1/keys/withdraw", body });
        t.is(withdrawn.status, 200);
        t.is((await waitUntilInForce(tested, withdrawn)).status, 200);
        t.not((await findLeader(tested)).name, suspendedLeader.name);
        suspendedLeader.startedProgram.resume();

        for (const address of cluster.entryAddresses) {
            await waitUntil(async () => {
                // An entry with an expired permit refuses all calls; even then it must not accept the withdrawn key.
                t.true([401, 503].includes(await requestChatStatus(address, tested.keys[0])));
                return await requestChatStatus(address, tested.keys[1]) === 200;
            });
            t.is(await requestChatStatus(address, tested.keys[0]), 401);
        }
        const listedAgain = await submitManifest(tested, createManifestText(tested, 2));
        t.is((await waitUntilInForce(tested, listedAgain)).status, 200);
        t.is(await requestChatStatus(cluster.entryAddresses[0] ?? "", tested.keys[0]), 401);
    });
});

/** Submits manifests from concurrent operators while the leader is killed; returns all submissions. */
async function submitWhileLeaderIsKilled(tested: TestedCluster): Promise<readonly Submission[]> {
    const history: Submission[] = [];
    const submissions = operatorNumbers.map(async operator => {
        for (let number = 1; number <= lastManifestNumber; number++) {
            const response = await submitManifest(tested, createManifestText(tested, number, operator));
            history.push({ operator, number, response });
        }
    });
    const killed = await findLeader(tested);
    await killed.kill();
    await Promise.all(submissions);
    await killed.start();
    return history;
}

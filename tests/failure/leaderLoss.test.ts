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

/** One submission of a history of concurrent operators. */
interface Submission {
    readonly operator: number;
    readonly number: number;
    readonly answer: OperatorAnswer;
}

const operators = [1, 2, 3] as const;
const lastNumber = 12;

describe("loss of the leading control process", () => {
    it("keeps one content for each manifest number while operators race and the leader is killed", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        const history = await raceWhileLeaderDies(tested);

        for (let number = 1; number <= lastNumber; number++) {
            const accepted = history.filter(entry => entry.number === number && entry.answer.status === 200);
            const winners = new Set(accepted.map(entry => entry.operator));
            t.true(winners.size <= 1, `number ${number} was accepted with ${winners.size} contents`);
            t.true(new Set(accepted.map(entry => entry.answer.body["version"])).size <= 1);
        }
        const inOrder = history
            .filter(entry => entry.answer.status === 200)
            .sort((left, right) => left.number - right.number)
            .map(entry => Number(entry.answer.body["version"]));
        t.deepEqual(inOrder, [...inOrder].sort((left, right) => left - right));
        t.true(history.every(entry => [200, 409].includes(entry.answer.status)));
        const final = history.find(entry => entry.number === lastNumber && entry.answer.status === 200);
        t.truthy(final);
        const repeated = await submit(tested, manifestText(tested, lastNumber, final?.operator));
        t.deepEqual(repeated.body, { version: final?.answer.body["version"], repeated: true });
    });

    it("refuses a key withdrawn while the old leader was stopped, also after that one goes on", async t => {
        await using cluster = new Cluster();
        const tested = await startTestedCluster(cluster, 1);
        t.is((await waitInForce(tested, await submit(tested, manifestText(tested, 1)))).status, 200);
        const paused = await leader(tested);
        paused.startedProgram.suspend();

        const body = JSON.stringify({ digest: keyDigest(tested.keys[0]) });
        const withdrawn = await operate(tested, { method: "POST", path: "/v1/keys/withdraw", body });
        t.is(withdrawn.status, 200);
        t.is((await waitInForce(tested, withdrawn)).status, 200);
        t.not((await leader(tested)).name, paused.name);
        paused.startedProgram.resume();

        for (const address of cluster.entryAddresses) {
            await until(async () => {
                // An entry whose permit has lapsed refuses everything; the withdrawn key must not work even then.
                t.true([401, 503].includes(await chatStatus(address, tested.keys[0])));
                return await chatStatus(address, tested.keys[1]) === 200;
            });
            t.is(await chatStatus(address, tested.keys[0]), 401);
        }
        const relisted = await submit(tested, manifestText(tested, 2));
        t.is((await waitInForce(tested, relisted)).status, 200);
        t.is(await chatStatus(cluster.entryAddresses[0] ?? "", tested.keys[0]), 401);
    });
});

async function raceWhileLeaderDies(tested: TestedCluster): Promise<readonly Submission[]> {
    const history: Submission[] = [];
    const races = operators.map(async operator => {
        for (let number = 1; number <= lastNumber; number++) {
            const answer = await submit(tested, manifestText(tested, number, operator));
            history.push({ operator, number, answer });
        }
    });
    const killed = await leader(tested);
    await killed.kill();
    await Promise.all(races);
    await killed.start();
    return history;
}

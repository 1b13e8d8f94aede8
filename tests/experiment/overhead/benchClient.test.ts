import { BenchClient, benchModel } from "../../../src/experiment/overhead/benchClient.js";
import { PassThroughProxy } from "../../../src/experiment/overhead/passThroughProxy.js";
import { ModelEngine } from "../../../src/standIn/modelEngine/modelEngine.js";
import { SystemClock } from "../../../src/util/clock.js";
import { describe, it } from "../../describe.js";

async function startEngine(): Promise<ModelEngine> {
    const engine = new ModelEngine({ models: [benchModel], stepMilliseconds: 1 }, new SystemClock());
    await engine.start();
    return engine;
}

describe("BenchClient", () => {
    it("counts the tokens of complete responses through a proxy that distributes requests over the engines", async t => {
        await using first = await startEngine();
        await using second = await startEngine();
        using proxy = new PassThroughProxy([first.address, second.address]);
        using client = new BenchClient(
            { name: "proxy", addresses: [await proxy.start()], processId: undefined },
            "key",
        );
        let tokens = 0;
        for (let request = 0; request < 2; request++) {
            await client.send(20, count => {
                tokens += count;
            });
        }
        t.is(tokens, 40);
        t.deepEqual([first.requestLog.count, second.requestLog.count], [1, 1]);
    });

    it("rejects a response that is truncated or lacks a token", async t => {
        await using engine = await startEngine();
        using client = new BenchClient({ name: "direct", addresses: [engine.address], processId: undefined }, "key");
        engine.faults.set({ kind: "skipToken", tokenNumber: 3, times: 1 });
        await t.throwsAsync(client.send(20));
        engine.faults.set({ kind: "breakStreams", afterTokens: 3, times: 1 });
        await t.throwsAsync(client.send(20));
        await t.notThrowsAsync(client.send(20));
    });
});

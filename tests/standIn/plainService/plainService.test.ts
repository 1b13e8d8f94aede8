import { PlainService } from "../../../src/standIn/plainService/plainService.js";
import type { PlainServiceOptionsInput } from "../../../src/standIn/plainService/plainServiceOptions.js";
import { SystemClock } from "../../../src/util/clock.js";
import { describe, it } from "../../describe.js";
import { callHttp, jsonOf } from "../httpCaller.js";

async function startService(options: PlainServiceOptionsInput = {}): Promise<PlainService> {
    const service = new PlainService(
        { serviceMilliseconds: 0, reportLagMilliseconds: 0, ...options },
        new SystemClock(),
    );
    await service.start();
    return service;
}

function booking(id: string): object {
    return { method: "POST", headers: { "x-request-id": id, "idempotency-key": `key-${id}` }, body: { place: id } };
}

describe("PlainService", () => {
    it("counts every execution by request id and idempotency key", async t => {
        await using service = await startService();
        for (const id of ["a", "b", "a"]) {
            await callHttp(service.address, "/bookings/7", booking(id));
        }
        t.deepEqual(["a", "b", "c"].map(id => service.executions.countOfRequest(id)), [2, 1, 0]);
        t.deepEqual(service.executions.repeated(), { requestIds: ["a"], idempotencyKeys: ["key-a"] });
    });

    it("loses an answer after the execution", async t => {
        await using service = await startService();
        service.faults.set({ kind: "loseAnswers", times: 1 });
        await t.throwsAsync(callHttp(service.address, "/bookings", booking("a")));
        t.is(service.executions.countOfKey("key-a"), 1);
        t.is((await callHttp(service.address, "/bookings", booking("b"))).status, 200);
    });

    it("refuses beyond its concurrency, truly not run", async t => {
        await using service = await startService({ maximumRunning: 2, serviceMilliseconds: 100 });
        const calls = ["a", "b", "c", "d"].map(async id => callHttp(service.address, "/bookings", booking(id)));
        const answers = await Promise.all(calls);
        const refused = answers.filter(answer => answer.status === 503 && answer.headers["x-not-run"] === "true");
        t.is(refused.length, 2);
        t.is(service.executions.all.length, 2);
    });

    it("answers late: executes at once and answers after the delay", async t => {
        await using service = await startService();
        service.faults.set({ kind: "answerLate", milliseconds: 60_000, when: "after" });
        const cut = callHttp(service.address, "/bookings", booking("a"));
        while (service.executions.all.length === 0) {
            await new SystemClock().sleep(2);
        }
        service.faults.set({ kind: "crash" });
        await t.throwsAsync(cut);
    });

    it("crosses answers", async t => {
        await using service = await startService();
        await callHttp(service.address, "/bookings", booking("a"));
        service.faults.set({ kind: "crossAnswers", times: 1 });
        const answer = await callHttp(service.address, "/bookings", booking("b"));
        t.like(jsonOf(answer), { requestId: "a" });
        t.is(answer.headers["x-request-id"], "a");
    });

    it("says in its load report and its refusals that it leaves", async t => {
        await using service = await startService();
        service.announceLeaving();
        t.like(jsonOf(await callHttp(service.address, "/v1/load")), { leaving: true, runningRequests: 0 });
        t.like((await callHttp(service.address, "/bookings", booking("a"))).headers, { "x-leaving": "true" });
    });
});

import { PlainService } from "../../../src/standIn/plainService/plainService.js";
import type { PlainServiceOptionsInput } from "../../../src/standIn/plainService/plainServiceOptions.js";
import { SystemClock } from "../../../src/util/clock.js";
import { describe, it } from "../../describe.js";
import { callHttp, parseJsonBody } from "../httpCaller.js";

async function startService(options: PlainServiceOptionsInput = {}): Promise<PlainService> {
    const service = new PlainService(
        { serviceMilliseconds: 0, reportLagMilliseconds: 0, ...options },
        new SystemClock(),
    );
    await service.start();
    return service;
}

function bookingCall(id: string): object {
    return { method: "POST", headers: { "x-request-id": id, "idempotency-key": `key-${id}` }, body: { place: id } };
}

describe("PlainService", () => {
    it("counts executions by request id and idempotency key", async t => {
        await using service = await startService();
        for (const id of ["a", "b", "a"]) {
            await callHttp(service.address, "/bookings/7", bookingCall(id));
        }
        t.deepEqual(["a", "b", "c"].map(id => service.executions.countByRequestId(id)), [2, 1, 0]);
        t.deepEqual(service.executions.findRepeated(), { requestIds: ["a"], idempotencyKeys: ["key-a"] });
    });

    it("closes the connection after the execution under loseAnswers", async t => {
        await using service = await startService();
        service.faults.set({ kind: "loseAnswers", times: 1 });
        await t.throwsAsync(callHttp(service.address, "/bookings", bookingCall("a")));
        t.is(service.executions.countByIdempotencyKey("key-a"), 1);
        t.is((await callHttp(service.address, "/bookings", bookingCall("b"))).status, 200);
    });

    it("rejects requests beyond its concurrency limit without executing them", async t => {
        await using service = await startService({ maximumRunning: 2, serviceMilliseconds: 100 });
        const calls = ["a", "b", "c", "d"].map(async id => callHttp(service.address, "/bookings", bookingCall(id)));
        const responses = await Promise.all(calls);
        const rejected = responses.filter(response =>
            response.status === 503 && response.headers["x-not-run"] === "true"
        );
        t.is(rejected.length, 2);
        t.is(service.executions.all.length, 2);
    });

    it("executes immediately and responds after the delay under answerLate", async t => {
        await using service = await startService();
        service.faults.set({ kind: "answerLate", milliseconds: 60_000, when: "after" });
        const cut = callHttp(service.address, "/bookings", bookingCall("a"));
        while (service.executions.all.length === 0) {
            await new SystemClock().sleep(2);
        }
        service.faults.set({ kind: "crash" });
        await t.throwsAsync(cut);
    });

    it("sends the response to another request under crossAnswers", async t => {
        await using service = await startService();
        await callHttp(service.address, "/bookings", bookingCall("a"));
        service.faults.set({ kind: "crossAnswers", times: 1 });
        const response = await callHttp(service.address, "/bookings", bookingCall("b"));
        t.like(parseJsonBody(response), { requestId: "a" });
        t.is(response.headers["x-request-id"], "a");
    });

    it("reports that it is leaving in its load report and its rejections", async t => {
        await using service = await startService();
        service.announceLeaving();
        t.like(parseJsonBody(await callHttp(service.address, "/v1/load")), { leaving: true, runningRequests: 0 });
        t.like((await callHttp(service.address, "/bookings", bookingCall("a"))).headers, { "x-leaving": "true" });
    });
});

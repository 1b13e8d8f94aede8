import { PlainService } from "../../../src/standIn/plainService/plainService.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { ask, codeOf } from "../../connection/entry/testCaller.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { disconnections, formatRequest, sendAndDisconnect } from "../../connection/leavingCaller.js";
import { describe, it } from "../../describe.js";

async function withService(check: (entry: TestEntry, service: PlainService) => Promise<void>): Promise<void> {
    await using store = new DisposableStore();
    const service = store.add(new PlainService({}, new SystemClock()));
    await service.start();
    await check(store.add(await TestEntry.start({ services: [service.address] })), service);
}

describe("service request", () => {
    it("retries an idempotent request whose response was lost", t =>
        withService(async (entry, service) => {
            service.faults.set({ kind: "loseAnswers", times: 1, pathPrefix: "/bookings" });
            t.is((await ask(entry, { method: "GET", path: "/bookings/17" })).status, 200);
            t.is(service.executions.all.length, 2);
            t.is(entry.state.metrics.counters.countOf("retries"), 1);
        }));

    it("stops retrying when the retry budget of its class is spent, and reports the outcome as unknown", t =>
        withService(async (entry, service) => {
            service.faults.set({ kind: "loseAnswers", pathPrefix: "/bookings" });
            while (entry.state.retryBudgets.budgetOf("drafts").tryTakeRetry()) {
                // Uses up the budget.
            }
            const response = await ask(entry, { method: "GET", path: "/bookings/17" });
            t.deepEqual([codeOf(response), response.headers["x-outcome"]], ["endpointFailed", "unknown"]);
            t.is(service.executions.all.length, 1);
        }));

    it("forwards a response completely that is larger than the buffered beginning", t =>
        withService(async (entry, service) => {
            const body = "\"".repeat(60_000);
            const response = await ask(entry, { method: "GET", path: "/bookings/large", body });
            t.is(response.status, 200);
            t.is((JSON.parse(response.body) as { readonly echo: string; }).echo, body);
            t.is(service.executions.all.length, 1);
            t.is(entry.services.running, 0);
        }));

    it("answers a HEAD request without a body", t =>
        withService(async entry => {
            const response = await ask(entry, { method: "HEAD", path: "/bookings/17" });
            t.deepEqual([response.status, response.body], [200, ""]);
        }));

    // Guards against requests that reach an endpoint although their callers left while the entry's event loop was late.
    for (const method of ["GET", "POST"]) {
        for (const disconnection of disconnections) {
            it(`is not sent to an endpoint if its caller left before it was read (${method}, ${disconnection})`, t =>
                withService(async (entry, service) => {
                    const headers = { host: "calls.example", authorization: `Bearer ${entry.key}` };
                    // Leaves an idle connection to the endpoint, on which a request would be written at once.
                    await ask(entry, { method: "GET", path: "/bookings/first" });
                    const request = formatRequest(method, "/bookings/left", headers);
                    await sendAndDisconnect(entry.address, request, disconnection);
                    for (let call = 0; call < 4; call++) {
                        await ask(entry, { method, path: "/bookings/further" });
                    }
                    t.is(service.executions.all.length, 5);
                }));
        }
    }
});

import type { ExecutionContext } from "ava";
import { PlainService } from "../../../src/standIn/plainService/plainService.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { generateKey } from "../../../src/util/generateKey.js";
import { ask, codeOf, open } from "../../connection/entry/testCaller.js";
import type { TestCall, TestResponse } from "../../connection/entry/testCaller.js";
import { TestControl } from "../../connection/entry/testControl.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { describe, it } from "../../describe.js";

interface Cluster {
    readonly control: TestControl;
    readonly services: readonly PlainService[];
    /** Two entries that share the control process and the services. */
    readonly entries: readonly [TestEntry, TestEntry];
}

function bookingCall(idempotencyKey: string, changes: Partial<TestCall> = {}): TestCall {
    const headers = { "idempotency-key": idempotencyKey };
    return { path: "/bookings/places", body: "{\"child\":17}", headers, ...changes };
}

function statusOutcomeAndCode(response: TestResponse): readonly unknown[] {
    return [response.status, response.headers["x-outcome"], codeOf(response)];
}

async function withCluster(t: ExecutionContext, check: (parts: Cluster) => Promise<void>): Promise<void> {
    await using store = new DisposableStore();
    const clock = new SystemClock();
    const services = ["a", "b"].map(name => store.add(new PlainService({ name }, clock)));
    await Promise.all(services.map(service => service.start()));
    const control = new TestControl();
    const key = generateKey();
    const endpoints = { services: services.map(service => service.address) };
    const entries = await Promise.all(
        ["entry-1", "entry-2"].map(name => TestEntry.start(endpoints, { name, key, control })),
    );
    const [first, second] = entries.map(entry => store.add(entry));
    t.truthy(second);
    if (first !== undefined && second !== undefined) {
        await check({ control, services, entries: [first, second] });
    }
}

function countExecutions(services: readonly PlainService[], key: string): number {
    return services.reduce((sum, service) => sum + service.executions.countByIdempotencyKey(key), 0);
}

describe("a call that may not be repeated", () => {
    it("runs once, and repeats at any entry get the stored response", t =>
        withCluster(t, async ({ services, entries }) => {
            const first = await ask(entries[0], bookingCall("k1"));
            const repeats = await Promise.all([...entries, ...entries].map(entry => ask(entry, bookingCall("k1"))));
            t.is(first.status, 200);
            t.deepEqual(repeats.map(response => response.body), repeats.map(() => first.body));
            t.true(repeats.every(response => response.headers["x-repeated"] === "true"));
            t.is(countExecutions(services, "k1"), 1);
        }));

    it("runs once when copies arrive concurrently", t =>
        withCluster(t, async ({ services, entries }) => {
            const copies = await Promise.all([...entries, ...entries].map(entry => ask(entry, bookingCall("k2"))));
            t.deepEqual(copies.map(response => response.status), [200, 200, 200, 200]);
            t.is(countExecutions(services, "k2"), 1);
        }));

    it("has an unknown outcome after its response was lost, and does not run again for a repeat", t =>
        withCluster(t, async ({ services, entries }) => {
            services.forEach(service => {
                service.faults.set({ kind: "loseAnswers", pathPrefix: "/bookings" });
            });
            t.deepEqual(statusOutcomeAndCode(await ask(entries[0], bookingCall("k3"))), [
                502,
                "unknown",
                "endpointFailed",
            ]);
            services.forEach(service => {
                service.faults.clear();
            });
            const unknown = [409, "unknown", "claimOutcomeUnknown"];
            t.deepEqual(statusOutcomeAndCode(await ask(entries[1], bookingCall("k3"))), unknown);
            t.deepEqual(statusOutcomeAndCode(await ask(entries[0], bookingCall("k3"))), unknown);
            t.is(countExecutions(services, "k3"), 1);
        }));

    it("is retried at another endpoint when the first refuses the connection", t =>
        withCluster(t, async ({ services, entries }) => {
            services[0]?.faults.set({ kind: "crash" });
            const keys = [...Array(8).keys()].map(index => `k4-${index}`);
            const responses = await Promise.all(keys.map(key => ask(entries[0], bookingCall(key))));
            t.deepEqual(responses.map(response => response.status), keys.map(() => 200));
            t.true(keys.every(key => countExecutions(services, key) === 1));
        }));

    it("does not run while claims are not confirmed, and can be sent again afterwards", t =>
        withCluster(t, async ({ control, services, entries }) => {
            control.leavesClaimsUnconfirmed = true;
            const refused = ask(entries[0], bookingCall("k5"));
            await entries[0].waitUntil(() => entries[0].state.claims.pendingClaimCount === 1);
            entries[0].state.claims.sweep(Infinity);
            t.deepEqual(statusOutcomeAndCode(await refused), [503, "notRun", "claimUnconfirmed"]);
            t.is(countExecutions(services, "k5"), 0);
            control.leavesClaimsUnconfirmed = false;
            t.is((await ask(entries[1], bookingCall("k5"))).status, 200);
        }));

    it("runs to its end after its caller has disconnected, so that a repeat gets the response", t =>
        withCluster(t, async ({ services, entries }) => {
            services.forEach(service => {
                service.faults.set({ kind: "answerLate", milliseconds: 150, pathPrefix: "/bookings" });
            });
            const leaving = new AbortController();
            const left = open(entries[0], bookingCall("k6", { signal: leaving.signal })).catch(() => undefined);
            await entries[0].waitUntil(() =>
                services.some(service => service.requestLog.findContaining("k6").length > 0)
            );
            leaving.abort();
            await left;
            t.is((await ask(entries[1], bookingCall("k6"))).status, 200);
            t.is(countExecutions(services, "k6"), 1);
        }));

    it("is refused when its key belongs to another request", t =>
        withCluster(t, async ({ services, entries }) => {
            await ask(entries[0], bookingCall("k7"));
            const other = await ask(entries[1], bookingCall("k7", { body: "{\"child\":18}" }));
            t.deepEqual(statusOutcomeAndCode(other), [422, "notRun", "claimConflict"]);
            t.is(countExecutions(services, "k7"), 1);
        }));

    it("drops the response to another request and never delivers it", t =>
        withCluster(t, async ({ services, entries }) => {
            await ask(entries[0], bookingCall("k8"));
            await ask(entries[0], bookingCall("k9"));
            services.forEach(service => {
                service.faults.set({ kind: "crossAnswers", pathPrefix: "/bookings" });
            });
            const responses = await Promise.all(["k10", "k11"].map(key => ask(entries[0], bookingCall(key))));
            for (const [index, response] of responses.entries()) {
                const own = response.status === 200 && response.body.includes(`k1${index}`);
                t.true(own || response.headers["x-outcome"] === "unknown", response.body);
            }
            t.true(entries[0].state.metrics.counters.countOf("foreignAnswers") >= 1);
        }));
});

import type { ExecutionContext } from "ava";
import { PlainService } from "../../../src/standIn/plainService/plainService.js";
import { SystemClock } from "../../../src/util/clock.js";
import { createKey } from "../../../src/util/createKey.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { ask, codeOf, open } from "../../connection/entry/testCaller.js";
import type { TestAnswer, TestCall } from "../../connection/entry/testCaller.js";
import { TestControl } from "../../connection/entry/testControl.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { describe, it } from "../../describe.js";

interface Parts {
    readonly control: TestControl;
    readonly services: readonly PlainService[];
    /** Two entries that share control and services. */
    readonly entries: readonly [TestEntry, TestEntry];
}

function booking(idempotencyKey: string, changes: Partial<TestCall> = {}): TestCall {
    const headers = { "idempotency-key": idempotencyKey };
    return { path: "/bookings/places", body: "{\"child\":17}", headers, ...changes };
}

function shown(answer: TestAnswer): readonly unknown[] {
    return [answer.status, answer.headers["x-outcome"], codeOf(answer)];
}

async function withParts(t: ExecutionContext, check: (parts: Parts) => Promise<void>): Promise<void> {
    await using store = new DisposableStore();
    const clock = new SystemClock();
    const services = ["a", "b"].map(name => store.add(new PlainService({ name }, clock)));
    await Promise.all(services.map(service => service.start()));
    const control = new TestControl();
    const key = createKey();
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

function executions(services: readonly PlainService[], key: string): number {
    return services.reduce((sum, service) => sum + service.executions.countOfKey(key), 0);
}

describe("a call that may not be repeated", () => {
    it("gives repeats at any entry the stored answer, and runs once", t =>
        withParts(t, async ({ services, entries }) => {
            const first = await ask(entries[0], booking("k1"));
            const repeats = await Promise.all([...entries, ...entries].map(entry => ask(entry, booking("k1"))));
            t.is(first.status, 200);
            t.deepEqual(repeats.map(answer => answer.body), repeats.map(() => first.body));
            t.true(repeats.every(answer => answer.headers["x-repeated"] === "true"));
            t.is(executions(services, "k1"), 1);
        }));

    it("runs once when copies arrive at the same moment", t =>
        withParts(t, async ({ services, entries }) => {
            const copies = await Promise.all([...entries, ...entries].map(entry => ask(entry, booking("k2"))));
            t.deepEqual(copies.map(answer => answer.status), [200, 200, 200, 200]);
            t.is(executions(services, "k2"), 1);
        }));

    it("is unknown after a lost answer, and a repeat does not run it", t =>
        withParts(t, async ({ services, entries }) => {
            services.forEach(service => {
                service.faults.set({ kind: "loseAnswers", pathPrefix: "/bookings" });
            });
            t.deepEqual(shown(await ask(entries[0], booking("k3"))), [502, "unknown", "endpointFailed"]);
            services.forEach(service => {
                service.faults.clear();
            });
            const unknown = [409, "unknown", "claimOutcomeUnknown"];
            t.deepEqual(shown(await ask(entries[1], booking("k3"))), unknown);
            t.deepEqual(shown(await ask(entries[0], booking("k3"))), unknown);
            t.is(executions(services, "k3"), 1);
        }));

    it("goes to another endpoint when the first refuses the connection or says that nothing ran", t =>
        withParts(t, async ({ services, entries }) => {
            services[0]?.faults.set({ kind: "crash" });
            const keys = [...Array(8).keys()].map(index => `k4-${index}`);
            const answers = await Promise.all(keys.map(key => ask(entries[0], booking(key))));
            t.deepEqual(answers.map(answer => answer.status), keys.map(() => 200));
            t.true(keys.every(key => executions(services, key) === 1));
        }));

    it("is truly not run while claims are not confirmed, and can be sent again afterwards", t =>
        withParts(t, async ({ control, services, entries }) => {
            control.silent = true;
            const refused = ask(entries[0], booking("k5"));
            await entries[0].until(() => entries[0].state.claims.waiting === 1);
            entries[0].state.claims.sweep(Infinity);
            t.deepEqual(shown(await refused), [503, "notRun", "claimUnconfirmed"]);
            t.is(executions(services, "k5"), 0);
            control.silent = false;
            t.is((await ask(entries[1], booking("k5"))).status, 200);
        }));

    it("is finished for its repeat when its caller has left", t =>
        withParts(t, async ({ services, entries }) => {
            services.forEach(service => {
                service.faults.set({ kind: "answerLate", milliseconds: 150, pathPrefix: "/bookings" });
            });
            const leaving = new AbortController();
            const left = open(entries[0], booking("k6", { signal: leaving.signal })).catch(() => undefined);
            await entries[0].until(() => services.some(service => service.record.containing("k6").length > 0));
            leaving.abort();
            await left;
            t.is((await ask(entries[1], booking("k6"))).status, 200);
            t.is(executions(services, "k6"), 1);
        }));

    it("refuses a key that belongs to another request", t =>
        withParts(t, async ({ services, entries }) => {
            await ask(entries[0], booking("k7"));
            const other = await ask(entries[1], booking("k7", { body: "{\"child\":18}" }));
            t.deepEqual(shown(other), [422, "notRun", "claimConflict"]);
            t.is(executions(services, "k7"), 1);
        }));

    it("drops an answer to another request, and does not deliver it", t =>
        withParts(t, async ({ services, entries }) => {
            await ask(entries[0], booking("k8"));
            await ask(entries[0], booking("k9"));
            services.forEach(service => {
                service.faults.set({ kind: "crossAnswers", pathPrefix: "/bookings" });
            });
            const answers = await Promise.all(["k10", "k11"].map(key => ask(entries[0], booking(key))));
            for (const [index, answer] of answers.entries()) {
                const own = answer.status === 200 && answer.body.includes(`k1${index}`);
                t.true(own || answer.headers["x-outcome"] === "unknown", answer.body);
            }
            t.true(entries[0].state.metrics.counters.countOf("foreignAnswers") >= 1);
        }));
});

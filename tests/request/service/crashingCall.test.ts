import { DisposableStore } from "../../../src/util/disposableStore.js";
import { ask, codeOf } from "../../connection/entry/testCaller.js";
import type { TestResponse } from "../../connection/entry/testCaller.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { describe, it } from "../../describe.js";
import { startCrashingEndpoints } from "../crashingEndpoints.js";

describe("service call that crashes endpoints", () => {
    // Guards against a refusal that says "not run" to the repeat of a call that may have run.
    it("is held back, but for repeats of calls that have run, whose outcome is reported", async t => {
        await using store = new DisposableStore();
        const services = await startCrashingEndpoints(store, 4, () => undefined);
        const entry = store.add(await TestEntry.start({ services }));
        const book = (key: string): Promise<TestResponse> =>
            ask(entry, { method: "POST", path: "/bookings/x", headers: { "idempotency-key": key }, body: "{}" });
        for (const key of ["first", "second"]) {
            t.is(codeOf(await book(key)), "endpointFailed");
        }
        t.is(codeOf(await book("third")), "requestCrashesEndpoints");
        const repeated = await book("first");
        t.deepEqual([codeOf(repeated), repeated.headers["x-outcome"]], ["claimOutcomeUnknown", "unknown"]);
    });
});

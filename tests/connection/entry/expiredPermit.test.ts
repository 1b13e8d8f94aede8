import { request as httpRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { ModelEngine } from "../../../src/standIn/modelEngine/modelEngine.js";
import { PlainService } from "../../../src/standIn/plainService/plainService.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { splitAddress } from "../../../src/util/socketAddress.js";
import { describe, it } from "../../describe.js";
import { ask, chatCall, codeOf, collect, open } from "./testCaller.js";
import { TestEntry } from "./testEntry.js";

/** Version that the entry has only after its next `configure`. */
const nextVersion = 2;

/** Duration of several sweeps of the entry, within which every dispatchable request is dispatched. */
const severalSweepsMilliseconds = 400;

const clock = new SystemClock();

/** Makes the permit invalid: requires a version of the configuration that the entry does not have yet. */
function expirePermit(entry: TestEntry): void {
    entry.state.permit.grant(clock.now(), 0, nextVersion);
}

describe("an entry whose permit has expired", () => {
    it("refuses a request whose body ends after the permit has expired", async t => {
        await using store = new DisposableStore();
        const service = store.add(new PlainService({}, clock));
        const entry = store.add(await TestEntry.start({ services: [await service.start()] }));
        const outgoing = httpRequest({
            ...splitAddress(entry.address),
            method: "POST",
            path: "/bookings/x",
            headers: { authorization: `Bearer ${entry.key}`, "content-length": 2, expect: "100-continue" },
        });
        const answered = new Promise<IncomingMessage>(resolve => outgoing.once("response", resolve));
        // The entry sends 100 Continue when it has checked the headers.
        await new Promise(resolve => outgoing.once("continue", resolve));
        outgoing.write("{");
        await clock.sleep(severalSweepsMilliseconds);
        expirePermit(entry);
        outgoing.end("}");
        const refused = await collect(await answered);
        t.deepEqual([refused.status, codeOf(refused)], [503, "permitExpired"]);
        t.is(service.executions.all.length, 0);
    });

    it("dispatches no queued request until it has a permit again", async t => {
        await using store = new DisposableStore();
        const engine = store.add(new ModelEngine({ models: ["alpha"], maximumRunning: 1 }, clock));
        const entry = store.add(await TestEntry.start({ engines: [await engine.start()], slots: 1 }));
        const running = await open(entry, chatCall(40));
        const queued = ask(entry, chatCall(3));
        await entry.waitUntil(() => entry.engines.waiting === 1);
        expirePermit(entry);
        t.is((await collect(running)).status, 200);
        await entry.waitUntil(() => entry.engines.running === 0);
        await clock.sleep(severalSweepsMilliseconds);
        t.is(entry.engines.running, 0);
        t.is(entry.engines.waiting, 1);
        entry.configure();
        t.is((await queued).status, 200);
    });
});

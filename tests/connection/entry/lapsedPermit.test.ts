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

/** Version that the entry does not have until it is configured once more. */
const nextVersion = 2;

/** Several sweeps of the entry, in milliseconds; a request that may be dispatched is, in this time. */
const severalSweeps = 400;

const clock = new SystemClock();

function lapse(entry: TestEntry): void {
    entry.state.permit.grant(clock.now(), 0, nextVersion);
}

describe("an entry whose permit has lapsed", () => {
    it("refuses a request whose body ends only then", async t => {
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
        // The entry asks for the body after its first look at the request.
        await new Promise(resolve => outgoing.once("continue", resolve));
        outgoing.write("{");
        await clock.sleep(severalSweeps);
        lapse(entry);
        outgoing.end("}");
        const refused = await collect(await answered);
        t.deepEqual([refused.status, codeOf(refused)], [503, "permitExpired"]);
        t.is(service.executions.all.length, 0);
    });

    it("dispatches no queued request before it may serve again", async t => {
        await using store = new DisposableStore();
        const engine = store.add(new ModelEngine({ models: ["alpha"], maximumRunning: 1 }, clock));
        const entry = store.add(await TestEntry.start({ engines: [await engine.start()], slots: 1 }));
        const running = await open(entry, chatCall(40));
        const queued = ask(entry, chatCall(3));
        await entry.until(() => entry.engines.waiting === 1);
        lapse(entry);
        t.is((await collect(running)).status, 200);
        await entry.until(() => entry.engines.running === 0);
        await clock.sleep(severalSweeps);
        t.is(entry.engines.running, 0);
        t.is(entry.engines.waiting, 1);
        entry.configure();
        t.is((await queued).status, 200);
    });
});

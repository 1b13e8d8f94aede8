import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { chatCall } from "../../connection/entry/testCaller.js";
import { TestControl } from "../../connection/entry/testControl.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { formatRequest, openConnection } from "../../connection/leavingCaller.js";
import { describe, it } from "../../describe.js";
import { startCrashingEndpoints } from "../crashingEndpoints.js";

/** Crash after which engines are owed protection. */
const decisiveCrash = 3;

/** Repeats of the request that may still reach engines after that. */
const acceptedRepeats = 3;

describe("model request", () => {
    // Guards against a request that its caller repeats, and that crashes engine after engine.
    for (const entryCount of [1, 4]) {
        it(`is not sent on again and again by ${entryCount} entries if it crashes each engine`, async t => {
            await using store = new DisposableStore();
            let arrivals = 0;
            const engines = await startCrashingEndpoints(store, 6, () => arrivals++);
            const control = new TestControl();
            const entries: TestEntry[] = [];
            for (let index = 0; index < entryCount; index++) {
                const name = `entry-${index + 1}`;
                entries.push(store.add(await TestEntry.start({ engines }, { name, control })));
            }
            const { path, body } = chatCall(5, "the same prompt");
            const callers: Socket[] = [];
            for (let repeat = 0; repeat < 20; repeat++) {
                const entry = entries[repeat % entries.length];
                if (entry === undefined) {
                    continue;
                }
                const headers = { host: "calls.example", authorization: `Bearer ${entry.key}` };
                const caller = await openConnection(entry.address);
                caller.write(formatRequest("POST", path, headers, body));
                callers.push(caller);
                await sleep(150);
            }
            callers.forEach(caller => caller.destroy());
            t.true(arrivals <= decisiveCrash + acceptedRepeats, `${arrivals} requests reached engines`);
        });
    }
});

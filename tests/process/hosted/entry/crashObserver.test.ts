import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { ListenerState } from "../../../../src/connection/probeListener.js";
import { probeListener } from "../../../../src/connection/probeListener.js";
import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { CrashObserver } from "../../../../src/process/hosted/entry/crashObserver.js";
import type { ObservedCrash } from "../../../../src/process/hosted/entry/crashObserver.js";
import { SystemClock } from "../../../../src/util/clock.js";
import { listen } from "../../../../src/util/socketAddress.js";
import { describe, it } from "../../../describe.js";
import { createEndpoints } from "./testEndpoints.js";

function observe(state: ListenerState): { readonly observer: CrashObserver; readonly crashes: ObservedCrash[]; } {
    const crashes: ObservedCrash[] = [];
    const observer = new CrashObserver({
        clock: new SystemClock(),
        eventLog: new EventLog("test", "hidden"),
        probe: () => Promise.resolve(state),
        onCrash: crash => crashes.push(crash),
    });
    return { observer, crashes };
}

describe("crash observer", () => {
    const cases: readonly (readonly [ListenerState, number])[] = [["refused", 1], ["listening", 0], ["unreachable", 0]];
    for (const [state, count] of cases) {
        // Guards against endpoints that are taken for crashed because of a reset, a failed network or a loss of power.
        it(`reports ${count} crashes of an endpoint that is ${state} after calls lost their connections`, async t => {
            const { observer, crashes } = observe(state);
            const [endpoint] = createEndpoints(1);
            if (endpoint === undefined) {
                return;
            }
            observer.recordLostCall(endpoint, { team: "a", features: ["segment:1"] });
            observer.recordLostCall(endpoint, { team: "b", features: ["segment:2"] });
            await sleep(100);
            t.is(crashes.length, count);
            t.deepEqual(crashes.flatMap(({ lostCalls }) => lostCalls.map(({ team }) => team)), count ? ["a", "b"] : []);
        });
    }
});

describe("listener probe", () => {
    it("tells a process that listens from one that has ended", async t => {
        const server = createServer();
        const address = await listen(server, "127.0.0.1:0");
        t.is(await probeListener(address, 1_000), "listening");
        await new Promise(resolve => server.close(resolve));
        t.is(await probeListener(address, 1_000), "refused");
    });
});

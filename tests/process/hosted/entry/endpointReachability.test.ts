import { setTimeout as sleep } from "node:timers/promises";
import type { ListenerState } from "../../../../src/connection/probeListener.js";
import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { EndpointReachability } from "../../../../src/process/hosted/entry/endpointReachability.js";
import { SystemClock } from "../../../../src/util/clock.js";
import { RandomSource } from "../../../../src/util/randomSource.js";
import { describe, it } from "../../../describe.js";

const clock = new SystemClock();

/** Creates a monitor of six endpoints, whose probes find the given states. */
function createReachability(
    stateOf: (address: string) => ListenerState,
    active = { count: 0, silent: 0 },
): EndpointReachability {
    return new EndpointReachability({
        clock,
        eventLog: new EventLog("test", "hidden"),
        random: new RandomSource(7),
        addresses: () => ["a", "b", "c", "d", "e", "f"],
        activeEndpoints: () => active,
        probe: address => Promise.resolve(stateOf(address)),
    });
}

describe("EndpointReachability", () => {
    const cases: readonly {
        readonly title: string;
        readonly failed: readonly string[];
        readonly reachable: readonly string[];
        readonly isCutOff: boolean;
    }[] = [
        { title: "one endpoint failed, and none was probed", failed: ["a", "a"], reachable: [], isCutOff: false },
        { title: "several failed and none accepts connections", failed: ["a", "b"], reachable: [], isCutOff: true },
        { title: "several failed and others accept", failed: ["a", "b"], reachable: ["c", "d", "e"], isCutOff: false },
    ];
    for (const { title, failed, reachable, isCutOff } of cases) {
        it(`says ${isCutOff} if ${title}`, async t => {
            const reachability = createReachability(address =>
                reachable.includes(address) ? "listening" : "unreachable"
            );
            failed.forEach(address => {
                reachability.recordFailure(address, clock.now());
            });
            await sleep(10);
            t.is(reachability.isCutOff, isCutOff);
        });
    }

    it("notices that all endpoints with running calls are silent, and that the cut has ended", async t => {
        let state: ListenerState = "unreachable";
        const reachability = createReachability(() => state, { count: 3, silent: 3 });
        const controller = new AbortController();
        let changes = 0;
        reachability.onChange(() => {
            changes++;
        });
        void reachability.run(controller.signal);
        await sleep(20);
        t.true(reachability.isCutOff);
        state = "listening";
        while (reachability.isCutOff) {
            await sleep(20);
        }
        controller.abort();
        t.is(changes, 2);
    });

    it("ends a cut with the first response on a new connection", async t => {
        const reachability = createReachability(() => "refused");
        t.true(await reachability.verify());
        reachability.recordConnection(clock.now());
        t.false(reachability.isCutOff);
    });
});

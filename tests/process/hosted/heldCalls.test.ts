import { setTimeout as sleep } from "node:timers/promises";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { CrashingFleet } from "./crashingFleet.js";
import { HostedInstallation } from "./hostedInstallation.js";

const document = documentOf(3, {
    routes: [{
        "name": "look-ups",
        "host": "calls.example",
        "path-prefix": "/look-ups/",
        "kind": "safe",
        "timeout-ms": 2_500,
        "service": "booking",
        "attempts": 2,
    }],
    services: [{ "name": "booking", "health-check-path": "/health", "connection-limit": 100 }],
});

/** Waits until a condition holds; false if it does not within some seconds. */
async function eventually(condition: () => Promise<boolean>): Promise<boolean> {
    for (let attempt = 0; attempt < 200; attempt++) {
        if (await condition()) {
            return true;
        }
        await sleep(50);
    }
    return false;
}

describe("hosted installation", () => {
    // Guards against calls that crash endpoints again because entries or control processes that started know nothing.
    itSerially("holds calls back over restarts of all processes, and releases them at an operator's word", async t => {
        let isMended = false;
        await using fleet = new CrashingFleet("booking", ({ url }) => url === "/look-ups/bad" && !isMended);
        await fleet.start(4);
        await using installation = await HostedInstallation.start(29, () => undefined, 0, () => fleet.listRows());
        await installation.submitUntilAccepted(document);
        const statusOf = async (path: string, address: string): Promise<number> => {
            const headers = { "gullhall-attempt-id": path, "gullhall-deadline-remaining": "2500" };
            const response = installation.call(`/look-ups/${path}`, headers, "", address);
            return (await response.catch(() => undefined))?.status ?? 0;
        };
        const first = installation.callerAddress;
        t.true(await eventually(async () => await statusOf("sound", first) === 200));
        // The first call, its repeat and a trial end three endpoints.
        t.true(
            await eventually(async () => {
                const status = await statusOf("bad", first);
                return status === 503 && fleet.crashes.length >= 3;
            }),
        );
        const held = await installation.heldCalls(1);
        t.is(held[0]?.service, "booking");
        t.regex(held[0]?.feature ?? "", /^call:/);
        const crashes = fleet.crashes.length;

        for (const control of [1, 2, 3]) {
            await installation.stopControl(control);
        }
        await Promise.all([1, 2, 3].map(control => installation.startControl(control)));
        const second = await installation.startFurtherEntry(101);
        t.true(await eventually(async () => await statusOf("sound", second) === 200));
        for (let repeat = 0; repeat < 5; repeat++) {
            t.is(await statusOf("bad", second), 503);
        }
        t.is(fleet.crashes.length, crashes);

        isMended = true;
        t.is(await installation.releaseCalls(2, held[0] ?? { service: "", feature: "" }), 200);
        t.true(await eventually(async () => await statusOf("bad", first) === 200));
        t.deepEqual(await installation.heldCalls(1), []);
    });
});

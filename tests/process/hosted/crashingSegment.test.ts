import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { HttpCallResponse } from "../../../src/connection/httpCall.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { CrashingFleet } from "./crashingFleet.js";
import { HostedInstallation } from "./hostedInstallation.js";

/** Crash after which endpoints are owed protection. */
const decisiveCrash = 5;

/** Time within which what entries in touch know must have reached all others, in milliseconds. */
const connectivityTime = 3_000;

/** Calls that may still reach endpoints after that. */
const acceptedCalls = 3;

const runTime = 14_000;

const sharedSegments = "5c1e07a2:800,91bd3f06:410";

const document = documentOf(3, {
    routes: [{
        "name": "drafts",
        "host": "calls.example",
        "path-prefix": "/drafts/",
        "kind": "streaming",
        "timeout-ms": 4_000,
        "target-latency-ms": 1_000,
        "gap-target-ms": 500,
        "service": "drafting",
        "attempts": 2,
        "resumable": true,
    }],
    services: [{
        "name": "drafting",
        "health-check-path": "/health",
        "engine": { "slots": 16, "kv-cache-tokens": 100_000 },
    }],
});

interface TimedResponse {
    readonly sentAt: number;
    readonly response: HttpCallResponse;
}

async function sendCall(
    installation: HostedInstallation,
    address: string,
    callId: string,
    segments: string,
): Promise<TimedResponse> {
    const sentAt = performance.now();
    const headers = {
        "gullhall-attempt-id": callId,
        "gullhall-deadline-remaining": "4000",
        "gullhall-token-counts": "1460,80",
        "gullhall-prompt-prefix": segments,
    };
    // A connection that ends early counts as a failed call.
    const response = await installation.call("/drafts/a", headers, "", address).catch(() => {
        return { status: 0, headers: {}, body: Buffer.alloc(0) };
    });
    return { sentAt, response };
}

describe("hosted installation", () => {
    // Guards against calls with one prompt segment that crash endpoint after endpoint, sent on by every entry.
    itSerially(
        "holds back calls with a prompt segment that crashes endpoints, at all entries, and no others",
        async t => {
            await using fleet = new CrashingFleet(
                "drafting",
                ({ headers }) => String(headers["gullhall-prompt-prefix"]).includes("bad00001:"),
            );
            await fleet.start(6);
            await using installation = await HostedInstallation.start(26, () => undefined, 0, () => fleet.listRows());
            await installation.submitUntilAccepted(document);
            const addresses = [installation.callerAddress];
            for (const index of [101, 102]) {
                addresses.push(await installation.startFurtherEntry(index));
            }
            for (const address of addresses) {
                while (
                    (await sendCall(installation, address, "first", `${sharedSegments},1:1`)).response.status !== 200
                ) {
                    await sleep(50);
                }
            }
            const sound: Promise<TimedResponse>[] = [];
            const startedAt = performance.now();
            for (let number = 0; performance.now() - startedAt < runTime; number++) {
                const address = addresses[number % addresses.length] ?? "";
                if (number % 5 === 0) {
                    const segments = `${sharedSegments},bad00001:50,b${number}:10`;
                    void sendCall(
                        installation,
                        addresses[number / 5 % addresses.length] ?? "",
                        `bad-${number}`,
                        segments,
                    );
                }
                sound.push(sendCall(installation, address, `sound-${number}`, `${sharedSegments},a${number}:10`));
                await sleep(50);
            }
            const responses = await Promise.all(sound);
            const protectedFrom = (fleet.crashes[decisiveCrash - 1] ?? Infinity) + connectivityTime;
            const late = fleet.arrivals.filter(({ crashes, at }) => crashes && at > protectedFrom);
            t.true(late.length <= acceptedCalls, `${late.length} calls; ${fleet.crashes.length} crashes`);
            const soundLater = responses.filter(({ sentAt }) => sentAt > startedAt + runTime / 2);
            const served = soundLater.filter(({ response }) => response.status === 200);
            t.true(
                served.length >= 0.9 * soundLater.length,
                `${served.length} of ${soundLater.length} sound calls served`,
            );
        },
    );
});

import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { CrashingFleet } from "./crashingFleet.js";
import { HostedInstallation } from "./hostedInstallation.js";

/** Crash after which endpoints are owed protection. */
const decisiveCrash = 3;

/** Time within which what entries in touch know must have reached all others, in milliseconds. */
const connectivityTime = 3_000;

/** Repeats of the call that may still reach endpoints after that. */
const acceptedRepeats = 3;

const runTime = 14_000;

function documentWith(kind: string): object {
    return documentOf(3, {
        routes: [{
            "name": "confirmations",
            "host": "calls.example",
            "path-prefix": "/confirmations/",
            kind,
            "timeout-ms": 2_500,
            "service": "booking",
            "attempts": 2,
        }],
        services: [{ "name": "booking", "health-check-path": "/health", "connection-limit": 100 }],
    });
}

const kinds: readonly (readonly [string, number])[] = [["safe", 27], ["unsafe", 28]];

describe("hosted installation", () => {
    for (const [kind, network] of kinds) {
        // Guards against a call that comes again and again, and crashes endpoint after endpoint.
        itSerially(
            `holds back a call of a ${kind} route that crashes endpoints each time it comes, and no others`,
            async t => {
                await using fleet = new CrashingFleet("booking", ({ url }) => url === "/confirmations/bad");
                await fleet.start(3);
                await using installation = await HostedInstallation.start(
                    network,
                    () => undefined,
                    0,
                    () => fleet.listRows(),
                );
                await installation.submitUntilAccepted(documentWith(kind));
                const addresses = [installation.callerAddress];
                for (const index of [101, 102]) {
                    addresses.push(await installation.startFurtherEntry(index));
                }
                const statusOf = async (path: string, callId: string, address: string): Promise<number> => {
                    const headers = { "gullhall-attempt-id": callId, "gullhall-deadline-remaining": "2500" };
                    // A connection that ends early counts as a failed call.
                    const response = installation.call(`/confirmations/${path}`, headers, "body", address);
                    return (await response.catch(() => undefined))?.status ?? 0;
                };
                for (const address of addresses) {
                    while (await statusOf("first", "first", address) !== 200) {
                        await sleep(50);
                    }
                }
                const sound: Promise<readonly [number, number]>[] = [];
                const startedAt = performance.now();
                for (let number = 0; performance.now() - startedAt < runTime; number++) {
                    const address = addresses[number % addresses.length] ?? "";
                    if (number % 5 === 0) {
                        void statusOf("bad", `bad-${number}`, addresses[number / 5 % addresses.length] ?? "");
                    }
                    const sentAt = performance.now();
                    sound.push(
                        statusOf(`sound-${number}`, `sound-${number}`, address).then(status => [sentAt, status]),
                    );
                    await sleep(50);
                }
                const statuses = await Promise.all(sound);
                const protectedFrom = (fleet.crashes[decisiveCrash - 1] ?? Infinity) + connectivityTime;
                const late = fleet.arrivals.filter(({ crashes, at }) => crashes && at > protectedFrom);
                t.true(late.length <= acceptedRepeats, `${late.length} repeats; ${fleet.crashes.length} crashes`);
                const soundLater = statuses.filter(([sentAt]) => sentAt > startedAt + runTime / 2);
                const served = soundLater.filter(([, status]) => status === 200);
                t.true(
                    served.length >= 0.9 * soundLater.length,
                    `${served.length} of ${soundLater.length} calls served`,
                );
            },
        );
    }
});

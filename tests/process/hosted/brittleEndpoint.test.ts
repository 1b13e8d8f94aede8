import type { ServerResponse } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";
import type { ReceivedCall } from "./hostedInstallation.js";

/** Time after the first statement from which on endpoints fall over, in milliseconds. */
const convergenceTime = 3_000;

/** Time for which endpoints are brittle after that, in milliseconds. */
const brittleTime = 5_000;

const endpointCount = 3;

/** Calls that an endpoint runs at once, as the platform lists it, and that wait there while it is brittle. */
const slots = 4;
const waitingCalls = 1;

/** Time that an endpoint takes for a call, in milliseconds. */
const serviceTime = 200;

/** Calls that an endpoint may turn away in a second. */
const acceptedRejections = 2;

/** Times that all endpoints together may fall over: two, and a tenth of their number. */
const acceptedFalls = 2 + endpointCount / 10;

/** Calls a second of all callers, twice as many as the endpoints can serve. */
const callsPerSecond = 2 * endpointCount * slots * 1_000 / serviceTime;

const document = documentOf(3, {
    routes: [{
        "name": "look-ups",
        "host": "calls.example",
        "path-prefix": "/look-ups/",
        "kind": "safe",
        "timeout-ms": 2_000,
        "service": "desk",
        "attempts": 2,
    }],
});

/** Endpoints that fall over if they have to turn away too many calls in a second. */
class BrittleEndpoints {
    falls = 0;
    private readonly running = new Map<string, number>();
    private readonly rejectedAt = new Map<string, readonly number[]>();
    private readonly startedAt = performance.now();

    respond(call: ReceivedCall, response: ServerResponse): void {
        const id = String(call.headers["gullhall-target-instance"]);
        const running = this.running.get(id) ?? 0;
        response.setHeader("gullhall-attempt-id", String(call.headers["gullhall-attempt-id"]));
        response.setHeader("server-brittle", String(acceptedRejections));
        response.setHeader(
            "gullhall-instance-load",
            `${Math.min(slots, running)},${Math.max(0, running - slots)},${slots}`,
        );
        if (running >= slots + waitingCalls) {
            response.writeHead(503, { "gullhall-not-executed": "1" }).end();
            this.countRejection(id, performance.now());
            return;
        }
        this.running.set(id, running + 1);
        setTimeout(() => {
            this.running.set(id, (this.running.get(id) ?? 1) - 1);
            response.setHeader("gullhall-response-signature", "proof");
            response.end("answer");
        }, serviceTime);
    }

    private countRejection(id: string, now: number): void {
        const recent = [...this.rejectedAt.get(id) ?? [], now].filter(at => now - at < 1_000);
        const falls = recent.length > acceptedRejections && now - this.startedAt > convergenceTime;
        this.falls += falls ? 1 : 0;
        this.rejectedAt.set(id, falls ? [] : recent);
    }
}

describe("brittle endpoints", () => {
    // Guards against endpoints that fall over because entries together send them more than they have room for.
    itSerially(
        "are sent no more by all entries together than they have room for, and as much as they can serve",
        async t => {
            let endpoints = new BrittleEndpoints();
            await using installation = await HostedInstallation.start(76, (call, response) => {
                endpoints.respond(call, response);
            }, endpointCount);
            await installation.submitUntilAccepted(document);
            const entries = [installation.callerAddress];
            for (const index of [101, 102]) {
                entries.push(await installation.startFurtherEntry(index));
            }
            for (const entry of entries) {
                while ((await installation.call("/look-ups/first", {}, "", entry)).status !== 200) {
                    await sleep(50);
                }
            }
            endpoints = new BrittleEndpoints();
            const calls: Promise<number>[] = [];
            const startedAt = performance.now();
            const duration = convergenceTime + brittleTime;
            for (let number = 0; performance.now() - startedAt < duration; number++) {
                const headers = { "gullhall-attempt-id": `call-${number}`, "gullhall-deadline-remaining": "2000" };
                const entry = entries[number % entries.length];
                calls.push(installation.call("/look-ups/a", headers, "", entry).then(({ status }) => status));
                await sleep(Math.max(0, startedAt + number * 1_000 / callsPerSecond - performance.now()));
            }
            const served = (await Promise.all(calls)).filter(status => status === 200).length;
            t.true(endpoints.falls <= acceptedFalls, `${endpoints.falls} falls`);
            t.true(
                served >= calls.length / 4,
                `${served} of ${calls.length} served, half of what the endpoints can serve`,
            );
        },
    );
});

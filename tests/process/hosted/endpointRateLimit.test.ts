import type { ServerResponse } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import type { HttpCallResponse } from "../../../src/connection/httpCall.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";
import type { ReceivedCall } from "./hostedInstallation.js";

/** Time after the first stated limit from which endpoints are owed that it holds, in milliseconds. */
const convergenceTime = 4_000;

/** Length of the window in which calls are counted, in milliseconds. */
const windowLength = 4_000;

/** Calls that an endpoint accepts in a window: half as many again as its limit allows, and five. */
function acceptedCalls(callsPerSecond: number): number {
    return 1.5 * callsPerSecond * windowLength / 1_000 + 5;
}

function mostCallsInWindow(times: readonly number[]): number {
    return Math.max(0, ...times.map(end => times.filter(time => time > end - windowLength && time <= end).length));
}

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

/** An installation with several entries, whose endpoints may state rate limits. */
class LimitedInstallation implements AsyncDisposable {
    private readonly limits = new Map<string, string>();
    private readonly arrivals = new Map<string, number[]>();
    private readonly entries: string[] = [];

    private constructor(private installation: HostedInstallation | undefined) {}

    static async start(network: number, endpoints: number): Promise<LimitedInstallation> {
        const limited = new LimitedInstallation(undefined);
        const installation = await HostedInstallation.start(network, (call, response) => {
            limited.respond(call, response);
        }, endpoints);
        limited.installation = installation;
        await installation.submitUntilAccepted(document);
        const addresses = [installation.callerAddress];
        for (const index of [101, 102]) {
            addresses.push(await installation.startFurtherEntry(index));
        }
        for (const address of addresses) {
            while ((await installation.call("/look-ups/first", {}, "", address)).status !== 200) {
                await sleep(50);
            }
        }
        limited.entries.push(...addresses);
        return limited;
    }

    /** Lets an endpoint state a limit from now on; undefined ends it. */
    setLimit(endpoint: string, callsPerSecond: string | undefined): void {
        if (callsPerSecond === undefined) {
            this.limits.delete(endpoint);
        }
        else {
            this.limits.set(endpoint, callsPerSecond);
        }
    }

    /** Makes calls at all entries, evenly spread, for some time; returns all responses. */
    async makeCalls(callsPerSecond: number, duration: number): Promise<readonly HttpCallResponse[]> {
        const responses: Promise<HttpCallResponse>[] = [];
        const startedAt = performance.now();
        for (let number = 0; number < callsPerSecond * duration / 1_000; number++) {
            await sleep(Math.max(0, startedAt + number * 1_000 / callsPerSecond - performance.now()));
            const headers = { "gullhall-attempt-id": `call-${number}`, "gullhall-deadline-remaining": "2000" };
            const address = this.entries[number % this.entries.length];
            const call = this.installation?.call("/look-ups/a", headers, "", address);
            responses.push(...call === undefined ? [] : [call]);
        }
        return Promise.all(responses);
    }

    /** Times at which calls arrived at an endpoint since the given time. */
    arrivalsSince(endpoint: string, since: number): readonly number[] {
        return this.arrivals.get(endpoint)?.filter(time => time >= since) ?? [];
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.installation?.[Symbol.asyncDispose]();
    }

    private respond(call: ReceivedCall, response: ServerResponse): void {
        const endpoint = String(call.headers["gullhall-target-instance"]);
        const arrivals = this.arrivals.get(endpoint) ?? [];
        arrivals.push(performance.now());
        this.arrivals.set(endpoint, arrivals);
        const limit = this.limits.get(endpoint);
        if (limit !== undefined) {
            response.setHeader("server-limit", limit);
        }
        response.setHeader("gullhall-attempt-id", String(call.headers["gullhall-attempt-id"]));
        response.setHeader("gullhall-response-signature", "proof");
        response.end("answer");
    }
}

describe("hosted installation", () => {
    // Guards against endpoints in need that get more calls from all entries together than their stated limits allow.
    itSerially("keeps to the rate limits of endpoints over all entries, and sends the rest elsewhere", async t => {
        await using limited = await LimitedInstallation.start(24, 3);
        const limits = { "i-desk-0": 1.5, "i-desk-1": 0.4 };
        for (const [endpoint, limit] of Object.entries(limits)) {
            limited.setLimit(endpoint, String(limit));
        }
        const limitedAt = performance.now();
        const responses = await limited.makeCalls(40, convergenceTime + 2 * windowLength);
        for (const [endpoint, limit] of Object.entries(limits)) {
            const arrivals = limited.arrivalsSince(endpoint, limitedAt + convergenceTime);
            t.true(mostCallsInWindow(arrivals) <= acceptedCalls(limit), `${endpoint}: ${mostCallsInWindow(arrivals)}`);
            t.true(arrivals.length > 0, `${endpoint} gets calls`);
        }
        t.deepEqual(new Set(responses.map(({ status }) => status)), new Set([200]));
    });

    // Guards against calls that are held or sent beyond the limits when no endpoint has room.
    itSerially("refuses early what endpoints with rate limits cannot take, with the time to come back", async t => {
        await using limited = await LimitedInstallation.start(25, 1);
        limited.setLimit("i-desk-0", "2");
        const limitedAt = performance.now();
        const responses = await limited.makeCalls(20, convergenceTime + 2 * windowLength);
        const arrivals = limited.arrivalsSince("i-desk-0", limitedAt + convergenceTime);
        t.true(mostCallsInWindow(arrivals) <= acceptedCalls(2), String(mostCallsInWindow(arrivals)));
        t.true(arrivals.length >= 0.7 * 2 * 2 * windowLength / 1_000, `${arrivals.length} calls use the allowance`);
        for (const { status, headers } of responses.filter(response => response.status !== 200)) {
            t.is(status, 503);
            t.true(Number(headers["retry-after"]) > 0);
        }
    });
});

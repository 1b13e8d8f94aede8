import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { formatRequest, openConnection } from "../../connection/leavingCaller.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";

/** Time within which an entry must stop, in milliseconds. */
const shutdownTime = 8_000;

/** Time that an endpoint takes for a call. */
const callDuration = 2_000;

/** Time that an endpoint takes for a call of the route whose first calls were short. */
const unexpectedDuration = 20_000;

/** Time from the head of a request to a deadline that comes long after the entry has ended. */
const farDeadline = 30_000;

/** Number of calls at each moment, for each route. */
const callCount = 3;

/** Bytes that complete the body of a request. */
const lastBytes = "end";

const document = documentOf(3, {
    routes: [["bookings", "unsafe"], ["look-ups", "safe"], ["reports", "unsafe"]].map(([name, kind]) => ({
        name,
        "host": "calls.example",
        "path-prefix": `/${name}/`,
        kind,
        "timeout-ms": 30_000,
        "target-latency-ms": 3_000,
        "attempts": 2,
        "service": "desk",
    })),
});

/** A request whose body is not complete yet. */
class SlowRequest {
    received = "";
    private constructor(private readonly socket: Socket) {
        socket.on("data", (bytes: Buffer) => this.received += bytes.toString());
        socket.on("error", () => undefined);
    }

    static async send(address: string, path: string, callId: string, deadline: number): Promise<SlowRequest> {
        const socket = await openConnection(address);
        const request = new SlowRequest(socket);
        const headers = {
            "host": "calls.example",
            "api-key": "key-1",
            "gullhall-attempt-id": callId,
            "gullhall-deadline-remaining": String(deadline),
            "content-length": String(lastBytes.length),
        };
        socket.write(formatRequest("POST", path, headers));
        return request;
    }

    complete(): void {
        this.socket.write(lastBytes);
    }
}

/** Requests that are completed at one moment of a shutdown. */
interface Batch {
    readonly route: string;
    /** Time after the signal at which their bodies end. */
    readonly completedAfter: number;
    readonly expectedStatus: number;
    /** Time from the head of the request to the caller's deadline; far away by default. */
    readonly deadline?: number;
    readonly requests: readonly SlowRequest[];
}

/** Time from the head of a request to a deadline that comes before the entry ends its calls. */
const nearDeadline = 7_300;

const moments: readonly Omit<Batch, "requests">[] = [
    { route: "bookings", completedAfter: 2_000, expectedStatus: 200 },
    { route: "look-ups", completedAfter: 2_000, expectedStatus: 200 },
    { route: "reports", completedAfter: 4_000, expectedStatus: 503 },
    { route: "bookings", completedAfter: 4_800, expectedStatus: 200, deadline: nearDeadline },
    { route: "look-ups", completedAfter: 4_800, expectedStatus: 200, deadline: nearDeadline },
    { route: "bookings", completedAfter: 4_800, expectedStatus: 503 },
    { route: "look-ups", completedAfter: 4_800, expectedStatus: 503 },
    { route: "bookings", completedAfter: 6_300, expectedStatus: 503 },
    { route: "look-ups", completedAfter: 6_300, expectedStatus: 503 },
    { route: "bookings", completedAfter: 7_000, expectedStatus: 503 },
    { route: "look-ups", completedAfter: 7_000, expectedStatus: 503 },
];

describe("request that is complete late in the shutdown of an entry", () => {
    // Guards against requests that are passed on when they cannot be answered any more, and cut without an answer (LOST).
    itSerially("is answered, or refused as not run, or failed as possibly run", async t => {
        const ran = new Set<string>();
        let areReportsSlow = false;
        const respond = async (path: string, callId: string, response: ServerResponse): Promise<void> => {
            ran.add(callId);
            response.setHeader("gullhall-attempt-id", callId);
            response.setHeader("gullhall-response-signature", "proof");
            if (path.startsWith("/reports/")) {
                await sleep(areReportsSlow ? unexpectedDuration : 1, undefined, { ref: false });
            }
            else {
                await sleep(callDuration);
            }
            response.end("answer");
        };
        await using installation = await HostedInstallation.start(120, ({ path, headers }, response) => {
            void respond(path, String(headers["gullhall-attempt-id"]), response);
        });
        installation.shutdownTime = shutdownTime;
        await installation.submitUntilAccepted(document);
        const entry = await installation.startFurtherEntry(101);
        for (const route of ["bookings", "look-ups", "reports"]) {
            while ((await installation.call(`/${route}/a`, {}, "", entry)).status !== 200) {
                await sleep(50);
            }
        }
        areReportsSlow = true;
        const batches: Batch[] = [];
        for (const [index, moment] of moments.entries()) {
            const requests = await Promise.all(
                Array.from(
                    Array(callCount).keys(),
                    number =>
                        SlowRequest.send(
                            entry,
                            `/${moment.route}/a`,
                            `late-${index}-${number}`,
                            moment.deadline ?? farDeadline,
                        ),
                ),
            );
            batches.push({ ...moment, requests });
        }
        const stopped = installation.stopEntry(101);
        const signalledAt = performance.now();
        for (const { completedAfter, requests } of batches) {
            await sleep(Math.max(0, signalledAt + completedAfter - performance.now()));
            requests.forEach(request => {
                request.complete();
            });
        }
        await stopped;
        await sleep(50);
        for (const [index, { route, completedAfter, expectedStatus, requests }] of batches.entries()) {
            for (const [number, { received }] of requests.entries()) {
                const title = `${route}, ${completedAfter} ms: ${received.slice(0, 300)}`;
                t.is(Number(/^HTTP\/1\.1 (\d+) /.exec(received)?.[1] ?? 0), expectedStatus, title);
                t.regex(received, /\r\nconnection: close\r\n/i, title);
                t.is(ran.has(`late-${index}-${number}`), expectedStatus !== 503, title);
                t.is(/\r\nretry-after: /i.test(received), expectedStatus === 503, title);
                t.is(/\r\nx-outcome: (\w+)/i.exec(received)?.[1], outcomes[expectedStatus], title);
            }
        }
    });
});

/** What the header `x-outcome` of a response states, by status. */
const outcomes: Readonly<Record<number, string>> = { 502: "unknown", 503: "notRun" };

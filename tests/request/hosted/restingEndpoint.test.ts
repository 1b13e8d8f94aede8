import type { ServerResponse } from "node:http";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { describe, it } from "../../describe.js";
import { StatedEndpoints } from "./statedEndpoints.js";

/** Time after a rejection from which on the users' rule counts calls, in milliseconds. */
const countedFrom = 500;

/** Rejects a call without having run it. */
function reject(response: ServerResponse, retryAfter: string): void {
    response.writeHead(503, { "gullhall-not-executed": "1", "retry-after": retryAfter }).end();
}

describe("endpoint that rejects a call and states when it takes the next one", () => {
    const statements: readonly (readonly [string, () => string])[] = [
        ["seconds", () => "1.5"],
        ["a date", () => new Date(Date.now() + 2_000).toUTCString()],
    ];
    for (const [title, retryAfter] of statements) {
        // Guards against calls and retries to an endpoint that has said that it takes none for a time.
        it(`gets no calls until then, and calls afterwards (${title})`, async t => {
            const arrivals: number[] = [];
            let rejectedAt = 0;
            await using endpoints = await StatedEndpoints.start(2, (response, id) => {
                if (id === "e0") {
                    arrivals.push(performance.now());
                }
                if (id === "e0" && rejectedAt === 0) {
                    rejectedAt = performance.now();
                    reject(response, retryAfter());
                    return;
                }
                setTimeout(() => {
                    response.end("answer");
                }, 50);
            });
            while (rejectedAt === 0) {
                await Promise.all([endpoints.call(), endpoints.call()]);
            }
            while (performance.now() < rejectedAt + 1_000) {
                const [first, second] = await Promise.all([endpoints.call(), endpoints.call()]);
                t.deepEqual([first.status, second.status], [200, 200]);
            }
            t.deepEqual(arrivals.filter(at => at > rejectedAt + countedFrom), []);
            await sleep(1_100);
            const before = arrivals.length;
            endpoints.entry.givePermit();
            // More calls at once than the other endpoint has slots.
            await Promise.all(Array.from(Array(12), () => endpoints.call()));
            t.true(arrivals.length > before);
        });
    }

    for (const retryAfter of ["soon", "-1", "", "0"]) {
        it(`gets calls as before if it states nothing that can be read (${JSON.stringify(retryAfter)})`, async t => {
            await using endpoints = await StatedEndpoints.start(1, response => {
                if (endpoints.received.length === 1) {
                    reject(response, retryAfter);
                    return;
                }
                response.end("answer");
            });
            t.is((await endpoints.call()).status, 503);
            t.is((await endpoints.call()).status, 200);
        });
    }

    // Guards against an endpoint that is lost because of one absurd value.
    it("rests for a bounded time, whatever it states", async t => {
        await using endpoints = await StatedEndpoints.start(1, response => {
            reject(response, "99999999999999");
        });
        await endpoints.call();
        const { context: { fleet }, clock } = endpoints.entry;
        const [endpoint] = fleet.serving("desk");
        t.true(endpoint?.isResting(clock.now()));
        t.false(endpoint?.isResting(clock.now() + 600_000));
    });

    // Guards against a caller that is told to wait for an endpoint while others serve, or too briefly if none does.
    it("shows its caller the time only if all endpoints rest", async t => {
        await using endpoints = await StatedEndpoints.start(2, (response, id) => {
            reject(response, id === "e0" ? "3" : "2");
        });
        await endpoints.call();
        const { status, headers } = await endpoints.call();
        t.is(status, 503);
        t.true(Number(headers["retry-after"]) > 1, headers["retry-after"]);
        t.is(endpoints.received.length, 2);
    });

    it("does not show its caller the time if it has run the call", async t => {
        await using endpoints = await StatedEndpoints.start(1, response => {
            response.writeHead(503, { "retry-after": "7" }).end("failed");
        });
        const { status, headers, body } = await endpoints.call();
        t.is(status, 503);
        t.is(body.toString(), "failed");
        t.is(headers["retry-after"], undefined);
    });
});

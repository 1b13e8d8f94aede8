import fastCheck from "fast-check";
import { buildActCall, readProgress } from "../../../src/process/platform/actProtocol.js";
import type { PlatformAct } from "../../../src/process/platform/platformCommand.js";
import { describe, it } from "../../describe.js";

const addresses = { orderAddressOf: () => "127.0.0.1:1", common: "127.0.0.1:2" };
const start: PlatformAct = {
    kind: "startEndpoints",
    failureDomain: "curepipe",
    pool: "gullhall-llm",
    engineKind: "h100",
    cheap: true,
    count: 2,
};
const stop: PlatformAct = { kind: "stopEndpoint", failureDomain: "curepipe", endpoint: "e1" };
const order: PlatformAct = {
    kind: "orderEngine",
    endpoint: "e1",
    address: "127.0.0.1:3",
    order: { kind: "drain" },
};
const load: PlatformAct = { kind: "loadWeights", endpoint: "e1", model: "m", version: "2", urgency: 0 };
const endpoint = {
    endpoint: "e1",
    address: "127.0.0.1:3",
    failureDomain: "curepipe",
    pool: "gullhall-llm",
    cheap: true,
};

function read(act: PlatformAct, status: number, body?: unknown): unknown {
    const identified = { actId: "1-1", act };
    const progress = readProgress(identified, buildActCall(identified, addresses), { status, retryAfter: 2_000, body });
    if (progress.kind === "repeat") {
        return [progress.kind, progress.failure.code, progress.retryAfter];
    }
    return progress.kind === "answered" ? progress.answer : progress.kind;
}

describe("readProgress", () => {
    const unorderedEndpoint = { ...endpoint, endpoint: "e2", pool: "other" };
    const granted = (given: readonly unknown[]): unknown => ({ orderId: "1-1", granted: given, unavailable: 0 });
    const cases: readonly [string, PlatformAct, number, unknown, unknown][] = [
        ["a full grant", start, 200, granted([endpoint, endpoint]), {
            kind: "granted",
            granted: [endpoint, endpoint],
            unavailable: 0,
        }],
        ["a grant with an endpoint that does not match the order", start, 200, granted([unorderedEndpoint, endpoint]), {
            kind: "granted",
            granted: [endpoint],
            unavailable: 1,
        }],
        ["a response to a different order", start, 200, { orderId: "1-2" }, [
            "repeat",
            "platformAnswerMalformed",
            undefined,
        ]],
        ["no body", start, 200, undefined, ["repeat", "platformAnswerMalformed", undefined]],
        ["a rejection", start, 400, undefined, { kind: "failed", reason: "status 400" }],
        ["a missing endpoint", stop, 404, undefined, { kind: "done" }],
        ["the release of an endpoint", stop, 200, { orderId: "1-1" }, { kind: "done" }],
        ["a rate limit", load, 429, undefined, ["repeat", "platformRefused", 2_000]],
        ["a server error of the platform", load, 500, undefined, ["repeat", "platformRefused", 2_000]],
        ["work in progress", load, 200, { loadId: "1-1", state: "running" }, "running"],
        ["a newer leader", order, 409, { newestFencingNumber: 9 }, ["repeat", "fencingNumberStale", undefined]],
        ["a failed order", order, 200, { orderId: "1-1", state: "failed", reason: "no memory" }, {
            kind: "failed",
            reason: "no memory",
        }],
    ];
    for (const [title, act, status, body, expected] of cases) {
        it(`reads ${title}`, t => {
            t.deepEqual(read(act, status, body), expected);
        });
    }

    it("returns a result for any body", t => {
        const property = fastCheck.property(
            fastCheck.constantFrom(start, stop, order, load),
            fastCheck.constantFrom(200, 204, 404, 409, 503),
            fastCheck.jsonValue(),
            (act, status, body) => {
                t.truthy(read(act, status, body));
            },
        );
        fastCheck.assert(property, { seed: 10, numRuns: 500 });
    });
});

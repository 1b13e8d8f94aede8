import { readCallTraits, readResponseTraits, requestHeadersForEndpoint } from "../../platform/callHeaders.js";
import { describe, it } from "../describe.js";

const routed = { endpointId: "i-1", team: "clinic", remainingTime: 900.7, urgency: 2, lastEventId: undefined };

function asRecord(headers: readonly string[]): Readonly<Record<string, string>> {
    const entries = headers.flatMap((name, index) =>
        index % 2 === 0 ? [[name.toLowerCase(), headers[index + 1] ?? ""]] : []
    );
    return Object.fromEntries(entries) as Record<string, string>;
}

describe("call headers", () => {
    it("exclude keys and headers that only the router may set", t => {
        const sent = ["Host", "calls.example", "Api-Key", "secret", "Gullhall-Tenant", "other", "Gullhall-Hold", "h"];
        const headers = asRecord(requestHeadersForEndpoint(sent, routed));
        t.false(JSON.stringify(headers).includes("secret"));
        t.is(headers["gullhall-tenant"], "clinic");
        t.is(headers["gullhall-hold"], undefined);
        t.is(headers["gullhall-target-instance"], "i-1");
        t.is(headers["gullhall-deadline-remaining"], "900");
        t.is(headers["host"], "calls.example");
    });

    it("exclude hop-by-hop headers, including those listed in the connection header", t => {
        const sent = ["Connection", "close, X-Own", "X-Own", "1", "Transfer-Encoding", "chunked", "X-Other", "2"];
        const headers = asRecord(requestHeadersForEndpoint(sent, routed));
        t.is(headers["x-own"], undefined);
        t.is(headers["transfer-encoding"], undefined);
        t.is(headers["x-other"], "2");
        t.is(headers["connection"], "keep-alive");
    });

    it("resume a stream after the last forwarded event", t => {
        const headers = requestHeadersForEndpoint(["Last-Event-Id", "3"], { ...routed, lastEventId: 9 });
        t.is(headers.filter(name => name.toLowerCase() === "last-event-id").length, 1);
        t.is(asRecord(headers)["last-event-id"], "9");
    });

    it("are parsed into traits; invalid values are treated as absent", t => {
        const traits = readCallTraits({
            "gullhall-attempt-id": "a1",
            "gullhall-deadline-remaining": "soon",
            "gullhall-token-counts": "1460,80",
            "gullhall-prompt-prefix": "5c:800,noise,e4:250",
        });
        t.is(traits.callId, "a1");
        t.is(traits.remainingTime, undefined);
        t.is(traits.promptTokens, 1_460);
        t.deepEqual(traits.promptSegments, [{ id: "5c", tokens: 800 }, { id: "e4", tokens: 250 }]);
    });

    it("name the stream that a call continues", t => {
        const traits = readCallTraits({ "last-event-id": "12", "resumes": "a0" });
        t.is(traits.lastEventId, "12");
        t.is(traits.resumedCallId, "a0");
        t.is(readCallTraits({ "last-event-id": "" }).lastEventId, undefined);
    });

    const unlimited = { kind: "unlimited" };
    const malformed = { kind: "malformed" };
    const limitedTo = (callsPerSecond: number, isAmbiguous = false): object => ({
        kind: "limited",
        callsPerSecond,
        isAmbiguous,
    });
    for (
        const [value, expected] of [
            [undefined, unlimited],
            ["1.5", limitedTo(1.5)],
            ["0", limitedTo(0)],
            [" 12 ", limitedTo(12)],
            ["999999999999", limitedTo(999_999_999_999)],
            ["3, 1.5", limitedTo(1.5, true)],
            ["soon, 1.5", limitedTo(1.5, true)],
            ["", malformed],
            ["soon", malformed],
            ["-1", malformed],
            ["NaN", malformed],
            ["1e3", malformed],
            ["0x10", malformed],
            ["9".repeat(400), malformed],
        ] as const
    ) {
        it(`state a rate limit of ${value?.slice(0, 20) ?? "nothing"} as ${JSON.stringify(expected)}`, t => {
            const headers = value === undefined ? {} : { "server-limit": value };
            t.deepEqual(readResponseTraits({ headers, statusCode: 200 }).rateLimit as unknown, expected);
        });
    }
});

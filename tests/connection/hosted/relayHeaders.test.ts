import type { IncomingHttpHeaders } from "node:http";
import { requestHeadersForEndpoint } from "../../../platform/callHeaders.js";
import {
    formatRun,
    readRelayedCall,
    readRelayedRun,
    relayHeaderNames,
    relayHeadersOf,
} from "../../../src/connection/hosted/relayHeaders.js";
import { describe, it } from "../../describe.js";

const call = {
    team: "clinic ü",
    executions: 1,
    version: 4,
    origin: { service: "desk, ü", softwareVersion: "v1" },
};

/** Headers as `node:http` reports them, from alternating names and values. */
function parse(rawHeaders: readonly string[]): IncomingHttpHeaders {
    const pairs = rawHeaders.flatMap((name, index) => index % 2 === 0 ? [[name, rawHeaders[index + 1]]] : []);
    return Object.fromEntries(pairs) as IncomingHttpHeaders;
}

describe("headers of a relayed call", () => {
    it("are read as they were written", t => {
        t.deepEqual(readRelayedCall(parse(relayHeadersOf(call, "token"))), { ...call, understandsEndpoint: true });
    });

    // Guards against headers of this build that an entry of the build before, which does not know them, passes on.
    it("are hop-by-hop", t => {
        const rawHeaders = ["Host", "calls.example", ...relayHeadersOf(call, "token")];
        const routed = {
            endpointId: "e1",
            team: "clinic",
            remainingTime: 1_000,
            urgency: undefined,
            lastEventId: undefined,
        };
        const forwarded = requestHeadersForEndpoint(rawHeaders, routed).map(text => text.toLowerCase());
        t.deepEqual(Object.values(relayHeaderNames).filter(name => forwarded.includes(name)), []);
        const listed = parse(rawHeaders).connection?.split(", ") ?? [];
        for (const name of [relayHeaderNames.version, relayHeaderNames.origin, relayHeaderNames.endpoint]) {
            t.true(listed.includes(name), name);
        }
    });

    it("name the endpoint of a response as it was written", t => {
        const run = { id: "i, ü", address: "127.0.0.1:9", startedAt: 5, softwareVersion: "v1" };
        t.deepEqual(readRelayedRun({ [relayHeaderNames.endpoint]: formatRun(run) }), run);
        t.is(readRelayedRun({ [relayHeaderNames.endpoint]: "%7B" }), undefined);
        t.is(readRelayedRun({}), undefined);
    });

    for (
        const [title, headers] of Object.entries({
            "no number of executions": { [relayHeaderNames.executions]: "x" },
            "a malformed team": { [relayHeaderNames.executions]: "0", [relayHeaderNames.team]: "%" },
        })
    ) {
        it(`are refused with ${title}`, t => {
            t.is(readRelayedCall(headers), undefined);
        });
    }

    // Guards against a call that is refused because an optional header of another build cannot be read.
    it("count as absent if they are optional and malformed", t => {
        const headers = {
            [relayHeaderNames.executions]: "0",
            [relayHeaderNames.version]: "new",
            [relayHeaderNames.origin]: "%7B",
        };
        t.deepEqual(readRelayedCall(headers), {
            team: undefined,
            executions: 0,
            version: undefined,
            origin: undefined,
            understandsEndpoint: false,
        });
    });
});

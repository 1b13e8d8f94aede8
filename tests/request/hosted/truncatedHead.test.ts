import { truncatedHeads } from "../../connection/truncatedHeads.js";
import { describe, itSerially } from "../../describe.js";
import { makeCall } from "./scriptedCall.js";
import type { EndpointScript } from "./scriptedCall.js";
import { makeRelayedCall } from "./scriptedRelays.js";

const identity = "Gullhall-Attempt-Id: call-1\r\nGullhall-Response-Signature: proof\r\n";

/** Upper bound for a call whose connection is closed behind its response, in milliseconds. */
const longestCall = 10_000;

/** Paths of routes without a second attempt. */
const paths = ["/bookings/a", "/drafts/a"];

describe("response whose head ends early", () => {
    for (const { title, bytes } of truncatedHeads(identity)) {
        for (const ending of ["end", "reset"] as const) {
            // Guards against a success that is made of a head which an endpoint did not complete (MIXED, ORDER).
            itSerially(`is no success (${title}, then ${ending})`, async t => {
                const scripts: readonly EndpointScript[] = [{ bytes, ending }];
                for (const path of paths) {
                    t.regex((await makeCall(path, scripts, "1.0", "POST", longestCall)).head, /^HTTP\/1\.1 502 /);
                }
            });
        }

        // Guards against the same where another entry relays the call and ends within the head of its response.
        itSerially(`is no success on a detour (${title})`, async t => {
            const response = await makeRelayedCall("/bookings/a", [({ socket }) => {
                socket?.end(bytes);
            }], "1.0");
            t.regex(response.head, /^HTTP\/1\.1 502 /);
            t.is(response.requests.length, 1);
        });
    }
});

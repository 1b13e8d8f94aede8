import { invalidHeads } from "../../connection/invalidHeads.js";
import { describe, itSerially } from "../../describe.js";
import { makeCall } from "./scriptedCall.js";
import { makeRelayedCall } from "./scriptedRelays.js";

const identity = "Gullhall-Attempt-Id: call-1\r\nGullhall-Response-Signature: proof\r\n";

/** Upper bound for a call whose connection is closed behind its response, in milliseconds. */
const longestCall = 10_000;

describe("response whose head is no HTTP", () => {
    for (const { title, bytes } of invalidHeads(identity)) {
        // Guards against a status, a line or a body that callers get although it is no response (MIXED).
        itSerially(`is replaced by 502 (${title})`, async t => {
            for (const path of ["/bookings/a", "/drafts/a"]) {
                const { head } = await makeCall(path, [{ bytes, ending: "end" }], "1.0", "POST", longestCall);
                t.regex(head, /^HTTP\/1\.1 502 /);
                t.notRegex(head, /trouble|proof/i);
            }
        });

        // Guards against the same on the way from the entry that relays the call.
        itSerially(`is replaced by 502 on a detour (${title})`, async t => {
            const { head } = await makeRelayedCall("/bookings/a", [({ socket }) => {
                socket?.end(bytes, "latin1");
            }], "1.0");
            t.regex(head, /^HTTP\/1\.1 502 /);
        });
    }
});

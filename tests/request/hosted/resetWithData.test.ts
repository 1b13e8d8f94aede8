import { bodyOf, looksComplete } from "../../connection/rawCaller.js";
import { writeAndEnd } from "../../connection/rawServer.js";
import { describe, itSerially } from "../../describe.js";
import { firstEvent, makeCall, secondEvent, unframedHead } from "./scriptedCall.js";
import type { EndpointScript, ScriptedResponse } from "./scriptedCall.js";
import { makeRelayedCall } from "./scriptedRelays.js";

/** Time after which a connection counts as kept, in milliseconds. */
const longestCall = 1_500;

/** Longer than the part of a body that an entry buffers before it forwards any. */
const longBody = "x".repeat(150_000);

/** Longer than the buffers of a loopback connection hold. */
const longUpload = "u".repeat(4_000_000);

const uploads: Readonly<Record<string, string>> = {
    "without a body": "",
    "with a body": "thirteen byte",
    "whose body is still being sent": longUpload,
};

/** Head of a success whose body is encoded, but not sent in chunks. */
const encodedHead = unframedHead.replace("Connection: close", "Transfer-Encoding: identity");

function callOnce(path: string, bytes: string, upload = ""): Promise<ScriptedResponse> {
    return makeCall(path, [{ bytes, ending: "resetWithData" }], "1.1", "POST", longestCall, upload);
}

describe("response without a length whose connection is reset together with its last bytes", () => {
    for (const [title, upload] of Object.entries(uploads)) {
        // Guards against a part of an answer that callers get as complete (review/6, MIXED).
        itSerially(`is no success of a call ${title}`, async t => {
            const { head, requests } = await callOnce("/bookings/a", `${unframedHead}part`, upload);
            t.regex(head, /^HTTP\/1\.1 502 /);
            t.is(requests.length, 1);
        });

        // Guards against streams that end as complete behind a part of their events (ORDER).
        itSerially(`leaves a stream of a call ${title} incomplete`, async t => {
            const response = await callOnce("/drafts/a", unframedHead + firstEvent, upload);
            t.false(response.head.startsWith("HTTP/1.1 200 ") && looksComplete(response));
        });

        // Guards against a part of a long answer that callers get as complete (MIXED).
        itSerially(`leaves a long answer of a call ${title} incomplete`, async t => {
            const response = await callOnce("/bookings/a", unframedHead + longBody, upload);
            t.false(response.head.startsWith("HTTP/1.1 200 ") && looksComplete(response));
        });
    }

    // Guards against the same where only the transfer coding is missing that shows the end (RFC 9112, section 6.3).
    itSerially("is no success if it has a transfer coding other than chunks", async t => {
        t.regex((await callOnce("/bookings/a", `${encodedHead}part`)).head, /^HTTP\/1\.1 502 /);
    });

    // Guards against errors that callers get in part as if they were whole.
    itSerially("is not forwarded if it is an error", async t => {
        const bytes = `${unframedHead.replace("200 OK", "500 Internal Server Error")}part`;
        t.regex((await callOnce("/bookings/a", bytes)).head, /^HTTP\/1\.1 502 /);
    });

    // Guards against sound answers that callers do not get because a second attempt is not made.
    itSerially("is repeated or continued where the route allows it", async t => {
        const broken: EndpointScript = { bytes: `${unframedHead}part`, ending: "resetWithData" };
        const whole: EndpointScript = { bytes: `${unframedHead}whole`, ending: "end" };
        const repeated = await makeCall("/look-ups/a", [broken, whole]);
        t.deepEqual([bodyOf(repeated), looksComplete(repeated)], ["whole", true]);
        const continued = await makeCall("/summaries/a", [
            { bytes: unframedHead + firstEvent, ending: "resetWithData" },
            { bytes: unframedHead + secondEvent, ending: "end" },
        ]);
        t.is(bodyOf(continued), firstEvent + secondEvent);
        t.true(looksComplete(continued));
    });

    for (
        const [title, path, body] of [
            ["a short answer", "/bookings/a", "part"],
            ["a long answer", "/bookings/a", longBody],
            ["a stream", "/summaries/a", firstEvent],
        ] as const
    ) {
        // Guards against the same on the way from the entry that relays the call.
        itSerially(`is not complete if another entry relays it (${title})`, async t => {
            const response = await makeRelayedCall(path, [({ socket }) => {
                if (socket) {
                    writeAndEnd(socket, unframedHead + body, "resetWithData");
                }
            }], "1.0");
            t.false(response.head.startsWith("HTTP/1.1 200 ") && looksComplete(response));
        });
    }
});

describe("response without a length that ends in order while the request is being sent", () => {
    // Guards against sound answers that are refused because they arrive before the whole request was sent.
    itSerially("is complete", async t => {
        for (const path of ["/bookings/a", "/drafts/a"]) {
            const bytes = unframedHead + firstEvent;
            const scripts = [{ bytes, ending: "end" }] as const;
            const response = await makeCall(path, scripts, "1.1", "POST", longestCall, longUpload);
            t.regex(response.head, /^HTTP\/1\.1 200 /);
            t.deepEqual([bodyOf(response), looksComplete(response)], [firstEvent, true]);
        }
    });
});

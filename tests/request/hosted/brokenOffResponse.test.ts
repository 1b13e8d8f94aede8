import { bodyOf, looksComplete } from "../../connection/rawCaller.js";
import { describe, itSerially } from "../../describe.js";
import { chunkedHead, chunkOf, firstEvent, makeCall, secondEvent, unframedHead, withLength } from "./scriptedCall.js";
import type { EndpointScript } from "./scriptedCall.js";

describe("response without a length or chunks", () => {
    // Guards against whole answers that are lost, and against broken ones that look whole.
    itSerially("is whole if its connection ends in order, and ends the caller's connection in order", async t => {
        for (const path of ["/look-ups/a", "/bookings/a"]) {
            const { head, framedBody, ending } = await makeCall(path, [
                { bytes: `${unframedHead}answer`, ending: "end" },
            ]);
            t.regex(head, /^HTTP\/1\.1 200 /);
            t.notRegex(head, /content-length|transfer-encoding/i);
            t.is(framedBody, "answer");
            t.is(ending, "end");
        }
    });

    itSerially("is broken if its connection is reset: repeated where that is safe, else failed", async t => {
        const broken: EndpointScript = { bytes: `${unframedHead}ans`, ending: "reset" };
        const whole: EndpointScript = { bytes: `${unframedHead}answer`, ending: "end" };
        const repeated = await makeCall("/look-ups/a", [broken, whole]);
        t.is(bodyOf(repeated), "answer");
        t.true(looksComplete(repeated));
        const failed = await makeCall("/bookings/a", [broken, whole]);
        t.regex(failed.head, /^HTTP\/1\.1 502 /);
        t.is(failed.requests.length, 1);
    });

    itSerially("may be a stream that ends in order", async t => {
        const response = await makeCall("/drafts/a", [
            { bytes: unframedHead + firstEvent + secondEvent, ending: "end" },
        ]);
        t.is(bodyOf(response), firstEvent + secondEvent);
        t.true(looksComplete(response));
        t.is(response.ending, "open");
    });

    itSerially("looks incomplete if it is a stream whose connection is reset", async t => {
        const response = await makeCall("/drafts/a", [{ bytes: unframedHead + firstEvent, ending: "reset" }]);
        t.is(bodyOf(response), firstEvent);
        t.is(response.ending, "end");
        t.false(looksComplete(response));
    });
});

describe("stream that ends inside an event", () => {
    const incomplete = `${firstEvent}id: 2\nda`;
    const responses: Readonly<Record<string, string>> = {
        "without a length": unframedHead + incomplete,
        "with a length": withLength(incomplete),
        "in chunks": `${chunkedHead}${chunkOf(incomplete)}0\r\n\r\n`,
    };
    for (const [framing, bytes] of Object.entries(responses)) {
        // Guards against streams that were broken off inside an event and are ended as if they were whole.
        itSerially(`is not ended as if it were whole (${framing})`, async t => {
            const { framedBody: body, ending } = await makeCall("/drafts/a", [{ bytes, ending: "end" }]);
            t.true(body.includes(firstEvent));
            t.false(body.includes("id: 2"), "no part of the broken event");
            t.false(body.endsWith("0\r\n\r\n"));
            t.is(ending, "end");
        });

        itSerially(`is resumed behind its last whole event where the route allows it (${framing})`, async t => {
            const rest = framing === "without a length"
                ? unframedHead + secondEvent
                : `${chunkedHead}${chunkOf(secondEvent)}0\r\n\r\n`;
            const { framedBody: body, ending, requests } = await makeCall("/summaries/a", [
                { bytes, ending: "end" },
                { bytes: rest, ending: "end" },
            ]);
            t.regex(requests[1] ?? "", /last-event-id: 1\r\n/i);
            t.is(body.replace(/[0-9a-f]+\r\n|\r\n/g, "").includes(firstEvent + secondEvent), true, body);
            t.true(body.endsWith("0\r\n\r\n"));
            t.is(ending, "open");
        });
    }

    itSerially("is whole if its lines end with carriage return and line feed, and so does its last event", async t => {
        const events = (firstEvent + secondEvent).replaceAll("\n", "\r\n");
        const response = await makeCall("/drafts/a", [{ bytes: unframedHead + events, ending: "end" }]);
        t.is(bodyOf(response), events);
        t.true(looksComplete(response));
    });
});

import { bodyOf, looksComplete } from "../../connection/rawCaller.js";
import { describe, itSerially } from "../../describe.js";
import { firstEvent, secondEvent } from "./scriptedCall.js";
import { answerAs, breakOffAfter, makeRelayedCall, refuseAs } from "./scriptedRelays.js";
import type { RelayScript } from "./scriptedRelays.js";

/** Refusals of another entry for reasons that say nothing about the call at the entry that was asked by its caller. */
const refusals: Readonly<Record<string, RelayScript>> = {
    "an outdated token": refuseAs(403, 1626, "relayForbidden", "notRun"),
    "an unknown route": refuseAs(404, 1611, "callRouteUnknown", "notRun"),
    "an unknown key": refuseAs(401, 1612, "callKeyUnknown", "notRun"),
    "a smaller limit of the body": refuseAs(413, 1613, "callTooLarge", "notRun"),
    "a smaller limit of the headers": refuseAs(431, 1614, "callHeadersTooLarge", "notRun"),
    "no permit": refuseAs(503, 1610, "entryNotPermitted", "notRun", { "retry-after": "0.400" }),
    "busy endpoints": refuseAs(503, 1621, "endpointsBusy", "notRun", { "retry-after": "0.700" }),
};

const bookings = "/bookings/a";

describe("call that another entry refuses", () => {
    for (const [reason, refusal] of Object.entries(refusals)) {
        // Guards against callers that get another entry's refusal as if it concerned their own route or key (CONFIG).
        itSerially(`is sent through a further entry (${reason})`, async t => {
            const response = await makeRelayedCall(bookings, [refusal, answerAs(200, "answer")]);
            t.regex(response.head, /^HTTP\/1\.1 200 /);
            t.is(bodyOf(response), "answer");
            t.is(response.requests.length, 2);
        });

        // Guards against the same where no entry takes the call: callers are told that it has not run, and when to retry.
        itSerially(`is refused as not run, with a time to return, if no entry takes it (${reason})`, async t => {
            const response = await makeRelayedCall(bookings, [refusal]);
            t.regex(response.head, /^HTTP\/1\.1 503 /);
            t.regex(response.head, /\r\nretry-after: \d+(\.\d+)?\r\n/i);
            t.regex(response.head, /\r\nx-outcome: notRun\r\n/i);
        });
    }

    // Guards against a promise that the call has not run, which the other entry did not make.
    itSerially("fails as possibly run if the other entry says so", async t => {
        const response = await makeRelayedCall(bookings, [refuseAs(502, 1630, "callOutcomeUnknown", "unknown")]);
        t.regex(response.head, /^HTTP\/1\.1 502 /);
        t.is(response.requests.length, 1);
    });

    // Guards against an endpoint's own error that is taken for a refusal of the other entry.
    itSerially("gets an error of the endpoint unchanged", async t => {
        const response = await makeRelayedCall(bookings, [answerAs(404, "no such booking")]);
        t.regex(response.head, /^HTTP\/1\.1 404 /);
        t.regex(response.head, /gullhall-response-signature: proof/);
        t.is(bodyOf(response), "no such booking");
        t.is(response.requests.length, 1);
    });
});

describe("stream whose relaying entry ends", () => {
    // Guards against streams that end with the entry that relays them, or that look complete then (ORDER).
    itSerially("goes on through a further entry behind its last event", async t => {
        const response = await makeRelayedCall("/summaries/a", [
            breakOffAfter(`${firstEvent}id: 2\nda`),
            answerAs(200, secondEvent),
        ]);
        t.is(bodyOf(response), firstEvent + secondEvent, response.head);
        t.true(looksComplete(response));
        t.is(response.requests.length, 2);
        t.is(response.requests[1]?.["last-event-id"], "1");
    });

    // Guards against errors and refusals in the middle of a stream.
    for (const [title, script] of Object.entries({ ...refusals, "an error of an endpoint": answerAs(500, "failed") })) {
        itSerially(`looks incomplete if nothing continues it (${title})`, async t => {
            const response = await makeRelayedCall("/summaries/a", [breakOffAfter(firstEvent), script]);
            t.regex(response.head, /^HTTP\/1\.1 200 /);
            t.is(bodyOf(response), firstEvent);
            t.false(looksComplete(response));
        });
    }

    // Guards against calls that could run again and that fail with the entry that relays them.
    itSerially("is begun anew if no event has arrived", async t => {
        const script: RelayScript = response => response.socket?.destroy();
        for (const path of ["/summaries/a", "/look-ups/a"]) {
            const response = await makeRelayedCall(path, [script, answerAs(200, firstEvent)]);
            t.is(bodyOf(response), firstEvent, response.head);
        }
        const booking = await makeRelayedCall(bookings, [script, answerAs(200, firstEvent)]);
        t.regex(booking.head, /^HTTP\/1\.1 502 /);
        t.is(booking.requests.length, 1);
    });
});

import { describe, itSerially } from "../../describe.js";
import { chunkedHead, chunkOf, firstEvent, makeCall } from "./scriptedCall.js";
import type { EndpointScript } from "./scriptedCall.js";
import { answerAs, makeRelayedCall } from "./scriptedRelays.js";

/** Upper bound for a call whose connection is closed behind its response, in milliseconds. */
const longestCall = 10_000;

const proof = "Gullhall-Attempt-Id: call-1\r\nGullhall-Response-Signature: proof\r\n";

/** An error response; `headers` end with a line break. */
function errorOf(status: number, headers: string): EndpointScript {
    const bytes = `HTTP/1.1 ${status} Status\r\nRetry-After: 1\r\n${headers}Content-Length: 4\r\n\r\nbody`;
    return { bytes, ending: "end" };
}

const refusal = errorOf(503, `${proof}Gullhall-Not-Executed: 1\r\n`);

describe("status by which callers conclude that a call has not run", () => {
    for (const status of [408, 429, 503]) {
        for (const [title, headers] of [["without proof", ""], ["with proof", proof]] as const) {
            for (const path of ["/bookings/a", "/drafts/a"]) {
                // Guards against bookings that run twice because a caller takes the status for a promise (review/8).
                itSerially(
                    `is replaced if the endpoint may have run a call of ${path} (${status} ${title})`,
                    async t => {
                        const { head, framedBody } = await makeCall(
                            path,
                            [errorOf(status, headers)],
                            "1.0",
                            "POST",
                            longestCall,
                        );
                        t.regex(head, /^HTTP\/1\.1 502 /);
                        t.notRegex(head, /proof|retry-after/i);
                        t.regex(framedBody, /"outcome":"unknown"/);
                    },
                );
            }
        }

        // Guards against the same where a first endpoint had refused the call.
        itSerially(`is replaced if it follows a refusal of another endpoint (${status})`, async t => {
            const scripts = [refusal, errorOf(status, proof)];
            const { head, requests } = await makeCall("/bookings/a", scripts, "1.0", "POST", longestCall);
            t.is(requests.length, 2);
            t.regex(head, /^HTTP\/1\.1 502 /);
        });

        // Guards against the same by an entry that relays the call, and forwards the status as earlier builds do.
        itSerially(`is replaced if another entry relayed the call (${status})`, async t => {
            const { head, framedBody } = await makeRelayedCall("/bookings/a", [answerAs(status, "body")], "1.0");
            t.regex(head, /^HTTP\/1\.1 502 /);
            t.regex(framedBody, /"outcome":"unknown"/);
        });

        // Guards against callers of calls that may be repeated, who would learn less.
        itSerially(`is kept for calls that may be repeated (${status})`, async t => {
            const scripts = [errorOf(status, proof), errorOf(status, proof)];
            const { head, framedBody } = await makeCall("/look-ups/a", scripts, "1.0", "POST", longestCall);
            t.regex(head, new RegExp(`^HTTP/1\\.1 ${status} `));
            t.is(framedBody, "body");
        });
    }

    // Guards against refusals that callers get as if the call might have run.
    itSerially("is sent if the endpoint states that it has not run the call", async t => {
        for (const script of [refusal, errorOf(421, proof)]) {
            const { head, framedBody } = await makeCall("/bookings/a", [script], "1.0", "POST", longestCall);
            t.regex(head, /^HTTP\/1\.1 503 /);
            t.regex(framedBody, /"outcome":"notRun"/);
        }
    });

    for (const path of ["/summaries/a", "/drafts/a"]) {
        // Guards against the same for a stream of which events have been sent.
        itSerially(`ends a stream of ${path} incompletely that has begun`, async t => {
            const { head, framedBody } = await makeCall(path, [
                { bytes: chunkedHead + chunkOf(firstEvent), ending: "reset" },
                errorOf(503, proof),
            ]);
            t.regex(head, /^HTTP\/1\.1 200 /);
            t.false(framedBody.includes("body"));
            t.false(framedBody.endsWith("0\r\n\r\n"));
        });
    }

    for (const [status, ownHeaders] of [[503, "Gullhall-Not-Executed: 1\r\n"], [421, ""]] as const) {
        // Guards against a statement that belongs to another call.
        itSerially(`is not sent if the statement names another call (${status})`, async t => {
            const headers = `${proof.replace("call-1", "call-0")}${ownHeaders}`;
            const { head } = await makeCall("/bookings/a", [errorOf(status, headers)], "1.0", "POST", longestCall);
            t.regex(head, /^HTTP\/1\.1 50[24] /);
        });
    }
});

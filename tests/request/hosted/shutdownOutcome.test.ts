import { once } from "node:events";
import { request as httpRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { splitAddress } from "../../../src/util/socketAddress.js";
import { describe, itSerially } from "../../describe.js";
import { StatedEndpoints } from "./statedEndpoints.js";

/** Status code 500 (Internal Server Error). */
const failedStatus = 500;

/** Size of a body that is forwarded before it is complete, in bytes. */
const longBodyBytes = 256 * 1024;

/** Time within which a call has ended after its entry ended it, in milliseconds. */
const settlingTime = 200;

describe("call at an entry that shuts down", () => {
    // Guards against answers of endpoints that are replaced by an error of the entry for want of a second attempt.
    itSerially("gets the error with which its endpoint answered if it cannot be sent to another", async t => {
        await using endpoints = await StatedEndpoints.start(2, response => {
            const { shutdown, suspensionDetector } = endpoints.entry.context;
            shutdown.begin(0, suspensionDetector.now());
            response.statusCode = failedStatus;
            response.end("the desk is closed");
        });
        const { status, body } = await endpoints.call();
        t.is(endpoints.received.length, 1);
        t.is(status, failedStatus);
        t.is(body.toString(), "the desk is closed");
    });

    // Guards against calls that the entry has ended and that are counted as left by their callers, too.
    itSerially("is counted once if the entry ends it after a part of its response", async t => {
        await using endpoints = await StatedEndpoints.start(1, response => {
            response.write(Buffer.alloc(longBodyBytes));
        });
        const { calls, callerAddress, context } = endpoints.entry;
        const request = httpRequest({
            ...splitAddress(callerAddress),
            agent: false,
            path: "/look-ups/a",
            headers: { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": "call-1" },
        }).end();
        const [response] = await once(request, "response") as [IncomingMessage];
        response.on("error", () => undefined).resume();
        calls.forEach(call => {
            call.endBecauseEntryStops();
        });
        await new Promise(resolve => response.once("close", resolve));
        await sleep(settlingTime);
        t.deepEqual(context.counters.endedCalls(), { answered: 0, refused: 0, failed: 1, left: 0 });
    });
});

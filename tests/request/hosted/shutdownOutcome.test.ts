import { describe, itSerially } from "../../describe.js";
import { StatedEndpoints } from "./statedEndpoints.js";

/** Status code 500 (Internal Server Error). */
const failedStatus = 500;

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
});

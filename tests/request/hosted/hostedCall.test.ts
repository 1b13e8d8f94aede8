import { once } from "node:events";
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import {
    disconnect,
    disconnections,
    formatRequest,
    openConnection,
    sendAndDisconnect,
} from "../../connection/leavingCaller.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "../../process/hosted/hostedInstallation.js";
import type { ReceivedCall } from "../../process/hosted/hostedInstallation.js";

const documentWithSafeRoute = documentOf(3, {
    routes: [{
        "name": "bookings",
        "host": "calls.example",
        "path-prefix": "/bookings/",
        "kind": "safe",
        "timeout-ms": 1_200,
        "service": "desk",
        "attempts": 2,
    }],
});

function requestOf(id: string, body = ""): string {
    const headers = { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": id };
    return formatRequest("POST", "/bookings/left", headers, body);
}

function idOf({ headers }: ReceivedCall): string {
    return String(headers["gullhall-attempt-id"]);
}

function respond(call: ReceivedCall, response: ServerResponse): void {
    response.setHeader("gullhall-attempt-id", idOf(call));
    response.setHeader("gullhall-response-signature", "proof");
    response.end("answer");
}

/** Makes some calls one after the other, which arrive at the endpoint after all that the entry had sent before. */
async function makeFurtherCalls(installation: HostedInstallation): Promise<void> {
    for (let call = 0; call < 4; call++) {
        await installation.callUntil(200, "/bookings/further");
    }
}

describe("hosted call", () => {
    // Guards against calls that reach an endpoint although their callers left while the entry's event loop was late.
    disconnections.forEach((disconnection, index) => {
        for (const body of ["", "body"]) {
            itSerially(
                `is not sent to an endpoint if its caller left before it was read (${disconnection}, "${body}")`,
                async t => {
                    await using installation = await HostedInstallation.start(20 + index, respond);
                    await installation.submitUntilAccepted(documentWithSafeRoute);
                    // Leaves an idle connection to the endpoint, on which a call would be written at once.
                    await makeFurtherCalls(installation);
                    await sendAndDisconnect(installation.callerAddress, requestOf("left", body), disconnection);
                    await makeFurtherCalls(installation);
                    t.false(installation.receivedCalls.map(idOf).includes("left"));
                },
            );
        }
    });

    // Guards against a second attempt for a caller that left together with the failure of the first one.
    itSerially("is not retried if its caller left before the failure of an attempt was read", async t => {
        const callers: Socket[] = [];
        await using installation = await HostedInstallation.start(22, (call, response) => {
            if (idOf(call) !== "left") {
                respond(call, response);
                return;
            }
            response.writeHead(503, { "gullhall-not-executed": "1", "gullhall-attempt-id": "left" }).end();
            callers.forEach(caller => {
                disconnect(caller, "end");
            });
        }, 2);
        await installation.submitUntilAccepted(documentWithSafeRoute);
        await installation.callUntil(200, "/bookings/first");
        // More calls at once than one endpoint has slots, which leave idle connections to both endpoints.
        await Promise.all(Array.from(Array(8), () => installation.call("/bookings/first")));
        const targets = installation.receivedCalls.map(call => call.headers["gullhall-target-instance"]);
        t.is(new Set(targets).size, 2);
        const caller = await openConnection(installation.callerAddress);
        callers.push(caller);
        caller.write(requestOf("left"));
        await once(caller, "close");
        await makeFurtherCalls(installation);
        t.is(installation.receivedCalls.map(idOf).filter(id => id === "left").length, 1);
    });
});

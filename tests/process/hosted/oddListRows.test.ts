import type { ServerResponse } from "node:http";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";
import type { ReceivedCall } from "./hostedInstallation.js";

const document = documentOf(3, {
    routes: [{
        "name": "bookings",
        "host": "calls.example",
        "path-prefix": "/bookings/",
        "kind": "unsafe",
        "timeout-ms": 3_000,
        "service": "desk",
    }],
});

function respond({ headers }: ReceivedCall, response: ServerResponse): void {
    response.setHeader("gullhall-attempt-id", String(headers["gullhall-attempt-id"]));
    response.setHeader("gullhall-response-signature", "proof");
    response.end("answer");
}

describe("hosted installation whose platform lists odd endpoints", () => {
    // Guards against processes that end, and calls that are lost, because of an endpoint that cannot be addressed.
    itSerially("serves all calls at the other endpoints", async t => {
        let listings = 0;
        await using installation = await HostedInstallation.start(64, respond, 1, () => {
            listings++;
            const row = { service: "desk", zone: "north", slots: 64, state: "ready" };
            return [
                { ...row, identifier: `port-${listings}`, address: "127.0.0.1:99999" },
                { ...row, identifier: `header-${listings}\r\nx: 1`, address: "127.0.0.1:9" },
                { ...row, identifier: `host-${listings}`, address: "127.0.0.999:9" },
                { ...row, identifier: `slots-${listings}`, address: "127.0.0.1:9", slots: 1e300 },
                JSON.parse(`${"[".repeat(5_000)}${"]".repeat(5_000)}`) as object,
            ];
        });
        await installation.submitUntilAccepted(document);
        await installation.callUntil(200, "/bookings/a");
        const listingsBefore = listings;
        const statuses: number[] = [];
        while (listings < listingsBefore + 4 || statuses.length < 60) {
            statuses.push(
                (await installation.call("/bookings/a", { "gullhall-attempt-id": `c-${statuses.length}` })).status,
            );
        }
        t.deepEqual(statuses.filter(status => status !== 200), []);
    });
});

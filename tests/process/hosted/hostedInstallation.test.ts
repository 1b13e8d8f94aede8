import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";
import type { ReceivedCall } from "./hostedInstallation.js";

/** Time until a repaired member counts for the quorum again; an earlier second loss may exceed the fault tolerance. */
const memberRecoveryMilliseconds = 4_000;

function echo(call: ReceivedCall, response: ServerResponse): void {
    response.setHeader("gullhall-attempt-id", String(call.headers["gullhall-attempt-id"]));
    response.setHeader("gullhall-response-signature", "proof");
    response.end(`answer to ${call.body}`);
}

const bookingsRouteOnly = {
    routes: [{
        "name": "bookings",
        "host": "calls.example",
        "path-prefix": "/bookings/",
        "kind": "unsafe",
        "timeout-ms": 1_200,
        "service": "desk",
    }],
};

function respondUnframed(call: ReceivedCall, response: ServerResponse): void {
    response.removeHeader("transfer-encoding");
    response.shouldKeepAlive = false;
    echo(call, response);
}

describe("hosted installation", () => {
    itSerially("delimits a response without a length by the end of its connection", async t => {
        await using installation = await HostedInstallation.start(15, (call, response) => {
            response.useChunkedEncodingByDefault = false;
            respondUnframed(call, response);
        });
        await installation.submitUntilAccepted(documentOf(3, bookingsRouteOnly));
        await installation.callUntil(200, "/bookings/a");
        const response = await installation.call("/bookings/a", {}, "body");
        t.is(response.body.toString(), "answer to body");
        t.is(response.headers["content-length"], undefined);
        t.is(response.headers["transfer-encoding"], undefined);
    });

    itSerially(
        "forms its group automatically, accepts a configuration at any control process, and serves calls by it",
        async t => {
            await using installation = await HostedInstallation.start(11, echo);
            t.is((await installation.call("/bookings/a")).status, 503);
            await installation.submitUntilAccepted(documentOf(3, bookingsRouteOnly));
            await installation.callUntil(200, "/bookings/a");
            const response = await installation.call("/bookings/b?x=1", {}, "body");
            t.is(response.body.toString(), "answer to body");
            const received = installation.receivedCalls.at(-1);
            t.is(received?.path, "/bookings/b?x=1");
            t.is(received?.headers["gullhall-tenant"], "clinic");
            t.is(received?.headers["api-key"], undefined);
            t.is((await installation.call("/nowhere/")).status, 404);
            t.is((await installation.call("/bookings/a", { "api-key": "unknown" })).status, 401);
        },
    );

    itSerially("lets an entry discover control processes after a change of its settings", async t => {
        await using installation = await HostedInstallation.start(16, echo);
        await installation.submitUntilAccepted(documentOf(3, bookingsRouteOnly));
        const call = await installation.startEntryWithUnreachableSeeds();
        while ((await call("/bookings/a")).status !== 200) {
            await sleep(50);
        }
        t.is((await call("/bookings/a")).status, 200);
    });

    itSerially("acknowledges old versions without applying them, rejects invalid ones, and withdraws keys", async t => {
        await using installation = await HostedInstallation.start(12, echo);
        await installation.submitUntilAccepted(documentOf(7, bookingsRouteOnly));
        t.is((await installation.submitUntilAnswered(2, documentOf(4, bookingsRouteOnly))).at(-1), 200);
        t.is(await installation.submit(3, documentOf(9, { routes: [{}] })), 400);
        t.is(await installation.fetchVersion(1), 7);
        await installation.callUntil(200, "/bookings/a");
        const withoutKeys = { ...bookingsRouteOnly, tenants: [{ name: "clinic", keys: [] }] };
        await installation.submitUntilAccepted(documentOf(10, withoutKeys));
        await installation.callUntil(401, "/bookings/a");
    });

    // Guards against a final refusal of an old version by a process that cannot tell whether it is old.
    itSerially("never refuses an old version, also at a control process that knows nothing yet", async t => {
        await using installation = await HostedInstallation.start(17, echo);
        await installation.submitUntilAccepted(documentOf(7, bookingsRouteOnly));
        await installation.stopControl(2);
        await installation.wipeControl(2);
        await installation.startControl(2);
        const statuses = await installation.submitUntilAnswered(2, documentOf(4, bookingsRouteOnly));
        t.is(statuses.at(-1), 200, statuses.join(" "));
        t.is(await installation.fetchVersion(1), 7);
    });

    itSerially(
        "keeps acknowledged configurations while control processes lose their disks one after the other",
        async t => {
            await using installation = await HostedInstallation.start(13, echo);
            await installation.submitUntilAccepted(documentOf(5, bookingsRouteOnly));
            for (const lost of [1, 2, 3]) {
                await installation.stopControl(lost);
                await installation.wipeControl(lost);
                await installation.startControl(lost);
                while (await installation.fetchVersion(lost) !== 5) {
                    await sleep(50);
                }
                await sleep(memberRecoveryMilliseconds);
            }
            await installation.submitUntilAccepted(documentOf(6, bookingsRouteOnly));
            t.is(await installation.fetchVersion(2), 6);
        },
    );

    itSerially(
        "admits a control process that is not among the seeds, and works without one that never returns",
        async t => {
            await using installation = await HostedInstallation.start(14, echo);
            await installation.submitUntilAccepted(documentOf(5, bookingsRouteOnly));
            await installation.stopControl(3);
            await installation.startControl(4);
            while (await installation.fetchVersion(4) !== 5) {
                await sleep(50);
            }
            await installation.submitUntilAccepted(documentOf(6, bookingsRouteOnly));
            await installation.callUntil(200, "/bookings/a");
            t.is(await installation.fetchVersion(4), 6);
        },
    );
});

import { once } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { formatRequest, openConnection } from "../../connection/leavingCaller.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";

const document = documentOf(3, {
    routes: [{
        "name": "bookings",
        "host": "calls.example",
        "path-prefix": "/bookings/",
        "kind": "unsafe",
        "timeout-ms": 5_000,
        "service": "desk",
    }],
});

/** Time that the endpoint takes for a call, in milliseconds. */
const callTime = 700;

function callOf(id: string, remainingTime: number): string {
    return formatRequest("POST", "/bookings/a", {
        "host": "calls.example",
        "api-key": "key-1",
        "gullhall-attempt-id": id,
        "gullhall-deadline-remaining": String(remainingTime),
    });
}

async function start(network: number): Promise<HostedInstallation> {
    const installation = await HostedInstallation.start(network, ({ headers }, response) => {
        setTimeout(() => {
            response.writeHead(200, {
                "gullhall-attempt-id": String(headers["gullhall-attempt-id"]),
                "gullhall-response-signature": "proof",
            });
            response.end("booked");
        }, callTime);
    });
    await installation.submitUntilAccepted(document);
    await installation.callUntil(200, "/bookings/a");
    installation.receivedCalls.length = 0;
    return installation;
}

describe("call that waits for an earlier one of its connection", () => {
    // Guards against calls that run after their caller has given them up.
    itSerially("is not sent once its deadline has passed", async t => {
        await using installation = await start(197);
        const socket = await openConnection(installation.callerAddress);
        let received = "";
        socket.on("data", (bytes: Buffer) => received += bytes.toString("latin1"));
        socket.write(callOf("first", 5_000) + callOf("second", 300) + callOf("third", 5_000));
        while ((received.match(/HTTP\/1\.1 \d+/g) ?? []).length < 3) {
            await sleep(20);
        }
        socket.destroy();
        const statuses = received.match(/HTTP\/1\.1 \d+/g);
        t.deepEqual(statuses?.[0], "HTTP/1.1 200");
        t.deepEqual(statuses?.[2], "HTTP/1.1 200");
        t.regex(received, /x-outcome: notRun/);
        const ids = installation.receivedCalls.map(({ headers }) => headers["gullhall-attempt-id"]);
        t.deepEqual(ids, ["first", "third"]);
    });

    // Guards against a call that runs although its connection is closed before its turn.
    itSerially("is not sent when the entry closes the connection because it stops", async t => {
        await using installation = await start(198);
        installation.shutdownTime = 4_000;
        const address = await installation.startFurtherEntry(101);
        while ((await installation.call("/bookings/a", {}, "", address)).status !== 200) {
            await sleep(50);
        }
        installation.receivedCalls.length = 0;
        const socket = await openConnection(address);
        let received = "";
        socket.on("data", (bytes: Buffer) => received += bytes.toString("latin1"));
        socket.write(callOf("first", 5_000) + callOf("second", 5_000));
        while (installation.receivedCalls.length === 0) {
            await sleep(5);
        }
        const closed = once(socket, "close");
        await installation.stopEntry(101);
        await closed;
        t.regex(received, /^HTTP\/1\.1 200 .*connection: close.*booked$/is);
        t.is(installation.receivedCalls.length, 1);
    });
});

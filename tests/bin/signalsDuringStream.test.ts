import { setTimeout as sleep } from "node:timers/promises";
import { allocateFreeAddresses } from "../../src/quickstart/freeAddresses.js";
import { splitAddress } from "../../src/util/socketAddress.js";
import { describe, itSerially } from "../describe.js";
import { documentOf } from "../platform/testDocument.js";
import { HostedInstallation } from "../process/hosted/hostedInstallation.js";
import { callForStream } from "../process/hosted/streamCaller.js";
import { orderlyEnd, SignalledProgram } from "./signalledProgram.js";

const network = 172;
const eventCount = 30;
const eventInterval = 100;

/** Pause before each signal; all of them arrive while the stream runs. */
const signalPause = 300;

const document = documentOf(3, {
    routes: [{
        "name": "drafts",
        "host": "calls.example",
        "path-prefix": "/drafts/",
        "kind": "streaming",
        "timeout-ms": 20_000,
        "service": "desk",
    }],
});

describe("gullhall-hosted-entry with a stream under way", () => {
    // Guards against a further signal that cuts the streams of an entry that stops.
    itSerially("delivers it whole though signals arrive in series", async t => {
        await using installation = await HostedInstallation.start(network, ({ headers }, response) => {
            response.setHeader("content-type", "text/event-stream");
            response.setHeader("gullhall-attempt-id", String(headers["gullhall-attempt-id"]));
            response.setHeader("gullhall-response-signature", "proof");
            void (async () => {
                for (let event = 1; event <= eventCount && !response.destroyed; event++) {
                    response.write(`id: ${event}\ndata: part ${event}\n\n`);
                    await sleep(eventInterval);
                }
                response.end();
            })();
        });
        await installation.submitUntilAccepted(document);
        const [port = 0] = (await allocateFreeAddresses(1)).map(address => splitAddress(address).port);
        const host = `127.0.${network}.110`;
        const callerAddress = `${host}:${port}`;
        await using entry = await SignalledProgram.start("gullhallHostedEntry", host, {
            "internal-ports": [installation.firstInternalPort, installation.firstInternalPort + 10],
            "seeds": [1, 2, 3].map(index => `127.0.${network}.${index}:1`),
            "listen-addresses": { frontend: callerAddress },
            "bounds": { "grace-s": 30 },
        });
        const serves = async (): Promise<boolean> => {
            try {
                return (await installation.call("/nowhere/", {}, "", callerAddress)).status === 404;
            }
            catch {
                return false;
            }
        };
        while (!entry.isGone && !await serves()) {
            await sleep(50);
        }
        const receivedBefore = installation.receivedCalls.length;
        const stream = callForStream(callerAddress, { callId: "call-1", path: "/drafts/a" });
        await entry.waitUntil(() => installation.receivedCalls.length > receivedBefore);
        const furtherSignals = ["SIGHUP", "SIGINT", "SIGTERM", "SIGHUP", "SIGTERM"] as const;
        await entry.signal(signalPause, "SIGHUP", "SIGTERM", ...furtherSignals);
        const { status, events, isComplete } = await stream;
        t.deepEqual([status, events.length, isComplete], [200, eventCount, true]);
        t.deepEqual(await entry.waitForEnd(), orderlyEnd, entry.errors);
        t.deepEqual(entry.stopEvents, [2001, 2003, 2003, 2003, 2003, 2003, 2002]);
        t.deepEqual(entry.log.filter(line => line.event === 2003).map(line => line["signal"]), furtherSignals);
    });
});

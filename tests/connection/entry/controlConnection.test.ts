import { createServer } from "node:net";
import type { Socket } from "node:net";
import { ControlClaimStore } from "../../../src/connection/entry/controlClaimStore.js";
import { ControlConnection } from "../../../src/connection/entry/controlConnection.js";
import type { ControlConnectionContext } from "../../../src/connection/entry/controlConnection.js";
import { encodeFrame } from "../../../src/connection/frameCodec.js";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import { EntryConfiguration } from "../../../src/process/entry/entryConfiguration.js";
import { RequestQuarantine } from "../../../src/process/entry/requestQuarantine.js";
import { ServingPermit } from "../../../src/process/entry/servingPermit.js";
import { UsageRecorder } from "../../../src/process/entry/usageRecorder.js";
import { SystemClock } from "../../../src/util/clock.js";
import { listen } from "../../../src/util/socketAddress.js";
import { describe, it } from "../../describe.js";

const identity = {
    cluster: "test",
    entry: "entry-1",
    incarnation: "first",
    startedAt: 1,
    failureDomain: "hobart-a",
    callerAddress: "127.0.0.1:1",
    metricsAddress: "127.0.0.1:2",
};

function createContext(): ControlConnectionContext {
    return {
        identity: () => identity,
        renewIncarnation: () => undefined,
        usage: new UsageRecorder("first"),
        clock: new SystemClock(),
        eventLog: new EventLog("entry-1", "hidden"),
        configuration: new EntryConfiguration(),
        permit: new ServingPermit(),
        status: () => ({ draining: false, runningRequests: 0, waitingRequests: 0 }),
        onDrain: () => undefined,
        onListing: () => undefined,
        summarizePools: () => [],
        collectDemands: () => [],
        onPoolSums: () => undefined,
        onLimitShares: () => undefined,
        claims: new ControlClaimStore(),
        quarantine: new RequestQuarantine(),
    };
}

const malformedFrames: readonly (readonly [title: string, malformedFrame: Buffer])[] = [
    ["an unknown kind of message", encodeFrame({ kind: "unknown" })],
    ["a message that is not a map", encodeFrame(17)],
    ["changes that are not a list", encodeFrame({ kind: "changes", changes: { at: 1 } })],
    [
        "a snapshot that is not valid CBOR",
        encodeFrame({ kind: "snapshotPart", bytes: Buffer.from([0xff, 0]), last: true }),
    ],
    ["a permit with fields of the wrong types", encodeFrame({ kind: "permit", number: "1", version: {}, entries: 5 })],
    ["bytes that are not a frame", Buffer.from([0, 0, 0, 2, 0xff, 0xff])],
];

describe("ControlConnection", () => {
    describe("run", () => {
        it("times out if the process accepts requests but never responds", async t => {
            const sockets: Socket[] = [];
            let bytes = 0;
            const server = createServer(socket => {
                sockets.push(socket);
                socket.on("error", () => undefined);
                socket.on("data", chunk => {
                    bytes += chunk.length;
                });
            });
            const address = await listen(server, "127.0.0.1:0");
            const end = await new ControlConnection(address, createContext(), new AbortController().signal).run();
            t.deepEqual(end, { leaderAddress: undefined, timedOut: true });
            t.true(bytes > 0);
            sockets.forEach(socket => socket.destroy());
            server.close();
        });

        for (const [title, malformedFrame] of malformedFrames) {
            it(`ends without an exception after ${title}`, async t => {
                const server = createServer(socket => {
                    socket.on("error", () => undefined);
                    socket.write(malformedFrame);
                });
                const address = await listen(server, "127.0.0.1:0");
                const end = await new ControlConnection(address, createContext(), new AbortController().signal).run();
                t.deepEqual(end, { leaderAddress: undefined, timedOut: false });
                server.close();
            });
        }
    });
});

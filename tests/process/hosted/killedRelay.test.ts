import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { CuttableNetwork } from "./cuttableNetwork.js";
import { HostedInstallation } from "./hostedInstallation.js";
import { callForStream } from "./streamCaller.js";
import type { ReceivedStream } from "./streamCaller.js";
import { eventCount, eventName, VersionedFleet } from "./versionedFleet.js";

/** Time within which an entry notices that it is cut off, in milliseconds. */
const noticeTime = 3_000;

/** Time for which a killed entry is down, in milliseconds. */
const downTime = 700;

/** Number of kills. */
const killCount = 8;

const callInterval = 40;

/** Indexes of the entries that are cut off, and of those that relay their calls. */
const cutEntries = [101, 102];
const relayingEntries = [100, 103, 104];

const paths = ["/summaries/a", "/look-ups/a", "/bookings/a"];

/** Statuses that say something about the route or the key of a call. */
const refusalStatuses: readonly number[] = [401, 403, 404, 413, 431];

const document = documentOf(3, {
    routes: [["summaries", "streaming"], ["look-ups", "safe"], ["bookings", "unsafe"]].map(([name, kind]) => ({
        name,
        "host": "calls.example",
        "path-prefix": `/${name}/`,
        kind,
        "timeout-ms": 4_000,
        "target-latency-ms": 2_000,
        "attempts": 3,
        "resumable": kind === "streaming",
        "service": "writers",
    })),
    services: [{ "name": "writers", "health-check-path": "/health", "connection-limit": 300 }],
});

const wholeStream = Array.from(Array(eventCount).keys(), index => eventName("v1", index + 1));

describe("entries that are cut off while the entries that relay their calls are killed", () => {
    // Guards against callers that get 403 for another entry's lapsed token, and streams that end with it (CONFIG, ORDER).
    itSerially("refuse no call for its route or key, and end no stream as if it were whole", async t => {
        await using store = new DisposableStore();
        const fleet = store.add(new VersionedFleet());
        await fleet.start("writers", "v1", 5);
        const installation = store.add(
            await HostedInstallation.start(121, () => undefined, 0, () => fleet.listRows()),
        );
        await installation.submitUntilAccepted(document);
        const networks: CuttableNetwork[] = [];
        const addresses: string[] = [];
        for (const index of cutEntries) {
            const network = store.add(new CuttableNetwork());
            await network.addEndpoints(fleet.addresses);
            networks.push(network);
            addresses.push(await installation.startFurtherEntry(index, network.open));
        }
        for (const index of relayingEntries.slice(1)) {
            await installation.startFurtherEntry(index);
        }
        for (const address of addresses) {
            while ((await callForStream(address, { callId: "first" })).status !== 200) {
                await sleep(50);
            }
        }
        networks.forEach(network => {
            network.cutOff("reset");
        });
        const calls: Promise<ReceivedStream>[] = [];
        let isOver = false;
        const callSteadily = async (address: string): Promise<void> => {
            for (let number = 0; !isOver; number++) {
                const call = { callId: `${address}-${number}`, path: paths[number % paths.length] ?? "" };
                calls.push(callForStream(address, call));
                await sleep(callInterval);
            }
        };
        const callers = Promise.all(addresses.map(callSteadily));
        await sleep(noticeTime);
        const early = calls.length;
        for (let kill = 0; kill < killCount; kill++) {
            const index = relayingEntries[kill % relayingEntries.length] ?? 0;
            await installation.killEntry(index);
            await sleep(downTime);
            await installation.restartEntry(index);
            await sleep(downTime);
        }
        isOver = true;
        await callers;
        const received = (await Promise.all(calls)).slice(early);
        t.deepEqual(received.filter(({ status }) => refusalStatuses.includes(status)), []);
        const whole = received.filter(({ status, isComplete }) => status === 200 && isComplete);
        whole.forEach(({ events }) => {
            t.deepEqual(events, wholeStream);
        });
        received.forEach(({ events }) => {
            t.deepEqual(events, wholeStream.slice(0, events.length), "no event twice, none missing");
        });
        t.true(whole.length >= received.length * 2 / 3, `${whole.length} of ${received.length}`);
        t.log(`${whole.length} of ${received.length}`);
    });
});

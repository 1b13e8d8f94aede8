import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";
import { callForStream } from "./streamCaller.js";
import type { ReceivedStream, StreamCall } from "./streamCaller.js";
import { eventCount, eventName, VersionedFleet } from "./versionedFleet.js";
import type { VersionedArrival } from "./versionedFleet.js";

const routeTimeout = 4_000;

/** Streams of one test; the least number of which the users' rule on resumed streams judges the share. */
const streamCount = 12;

/** Share of the resumed streams that go on at least while endpoints of their version serve. */
const acceptedShare = 0.5;

function documentWith(targets: object, version = 3): object {
    return documentOf(version, {
        routes: [{
            "name": "summaries",
            "host": "calls.example",
            "path-prefix": "/summaries/",
            "kind": "streaming",
            "timeout-ms": routeTimeout,
            "target-latency-ms": 2_000,
            "attempts": 2,
            "resumable": true,
            ...targets,
        }],
        services: ["writers", "others"].map(name => {
            return { name, "health-check-path": "/health", "connection-limit": 300 };
        }),
        tenants: [{ name: "clinic", keys: ["key-1"] }, { name: "depot", keys: ["key-2"] }],
    });
}

/** Starts an installation with three entries and endpoints of two versions; resolves once all entries serve. */
async function start(
    store: DisposableStore,
    network: number,
    breaksOff?: (arrival: VersionedArrival) => boolean,
): Promise<{ readonly fleet: VersionedFleet; readonly installation: HostedInstallation; readonly entries: string[]; }> {
    const fleet = store.add(new VersionedFleet(breaksOff));
    for (let pair = 0; pair < 3; pair++) {
        await fleet.start("writers", "v1", 1);
        await fleet.start("writers", "v2", 1);
    }
    const installation = store.add(
        await HostedInstallation.start(network, () => undefined, 0, () => fleet.listRows()),
    );
    await installation.submitUntilAccepted(documentWith({ service: "writers" }));
    const entries = [installation.callerAddress];
    for (const index of [101, 102]) {
        entries.push(await installation.startFurtherEntry(index));
    }
    for (const entry of entries) {
        while ((await callForStream(entry, { callId: "first", leaveAfter: 1 })).status !== 200) {
            await sleep(50);
        }
    }
    return { fleet, installation, entries };
}

/** Names of the versions that wrote events. */
function versionsOf(streams: readonly ReceivedStream[]): readonly string[] {
    return [...new Set(streams.flatMap(({ events }) => events.map(event => event.split("/")[0] ?? "")))];
}

/** Makes calls one after the other, at an entry in turn, so that they run beside each other. */
async function callAtEach(
    entries: readonly string[],
    callOf: (index: number) => StreamCall,
): Promise<readonly ReceivedStream[]> {
    const calls: Promise<ReceivedStream>[] = [];
    for (let index = 0; index < streamCount; index++) {
        calls.push(callForStream(entries[index % entries.length] ?? "", callOf(index)));
        await sleep(10);
    }
    return Promise.all(calls);
}

/** The call that goes on behind what was received. */
function continuationOf(began: readonly ReceivedStream[], index: number): StreamCall {
    const lastEventId = began[index]?.events.length ?? 0;
    return { callId: `again-${index}`, lastEventId, resumes: `begun-${index}` };
}

/** Takes up all streams again, the last one first, so that equal placement does not hide a change of the version. */
async function takeUpAgain(
    entries: readonly string[],
    began: readonly ReceivedStream[],
): Promise<readonly ReceivedStream[]> {
    const again = await callAtEach(entries, index => continuationOf(began, streamCount - 1 - index));
    return again.toReversed();
}

/** Number of streams that hold events of several versions over two attempts. */
function countMixed(began: readonly ReceivedStream[], again: readonly ReceivedStream[]): number {
    return began.filter((stream, index) => versionsOf([stream, ...again.slice(index, index + 1)]).length > 1).length;
}

const beginning = (index: number): StreamCall => ({ callId: `begun-${index}`, leaveAfter: 4 });

/** Share of the streams that went on and ended whole. */
function shareOfWhole(streams: readonly ReceivedStream[]): number {
    return streams.filter(({ status, isComplete }) => status === 200 && isComplete).length / streams.length;
}

describe("stream of a hosted installation", () => {
    // Guards against an answer that holds events of two software versions after its first endpoint broke off.
    itSerially("goes on within one answer only at the version that began it", async t => {
        await using store = new DisposableStore();
        const { entries } = await start(store, 61, ({ callId, lastEventId }) => {
            return callId.startsWith("begun") && lastEventId === undefined;
        });
        const received = await callAtEach(entries, index => ({ callId: `begun-${index}` }));
        t.deepEqual(received.filter(stream => versionsOf([stream]).length > 1), []);
        t.true(shareOfWhole(received) >= acceptedShare, JSON.stringify(received));
        const whole = received.filter(({ isComplete }) => isComplete).map(({ events }) => events);
        t.deepEqual(
            whole,
            whole.map(([first]) => {
                return Array.from(Array(eventCount).keys(), index => eventName(first?.split("/")[0], index + 1));
            }),
        );
    });

    // Guards against a stream that its caller takes up again at another entry, where another version continues it.
    itSerially("goes on at another entry only at the version that began it", async t => {
        await using store = new DisposableStore();
        const { entries } = await start(store, 62);
        const began = await callAtEach(entries, beginning);
        const again = await takeUpAgain(entries.toReversed(), began);
        t.is(countMixed(began, again), 0);
        t.is(versionsOf(began).length, 2, "both versions begin streams");
        t.true(shareOfWhole(again) >= acceptedShare, JSON.stringify(again));
    });

    // Guards against a stream of which only the entry knew the version that began it, and that entry is gone.
    itSerially("goes on at the version that began it after its entry has left and the leader has changed", async t => {
        await using store = new DisposableStore();
        const { installation, entries } = await start(store, 63);
        // Entries take 2.6 s to leave; streams may be continued for the timeout of their route.
        const targets = { "service": "writers", "timeout-ms": 3 * routeTimeout };
        await installation.submitUntilAccepted(documentWith(targets, 4));
        // The configuration is in force everywhere within this time.
        await sleep(2_000);
        const began = await callAtEach(entries.slice(1), beginning);
        const leader = await installation.findLeader();
        await Promise.all([101, 102].map(index => installation.stopEntry(index)));
        await installation.stopControl(leader);
        await installation.findLeader();
        await installation.callUntil(200, "/summaries/a", { "gullhall-attempt-id": "first" });
        const again = await takeUpAgain(entries.slice(0, 1), began);
        t.is(countMixed(began, again), 0);
        t.true(shareOfWhole(again) >= acceptedShare, JSON.stringify(again));
    });

    // Guards against a stream of which the newest attempt decides where it goes on, not the one that began it.
    itSerially("goes on at the version that began it each time its caller takes it up", async t => {
        await using store = new DisposableStore();
        const { entries } = await start(store, 64);
        const began = await callAtEach(entries, beginning);
        const second = await callAtEach(entries.toReversed(), index => {
            return { ...continuationOf(began, index), leaveAfter: 3 };
        });
        const received = began.map(({ events, ...rest }, index) => {
            return { ...rest, events: [...events, ...second[index]?.events ?? []] };
        });
        const third = await takeUpAgain(entries, received);
        t.is(countMixed(received, third), 0);
        t.true(shareOfWhole(third) >= acceptedShare, JSON.stringify(third));
    });

    // Guards against two versions in a stream whose beginning no process knows, or that names another team's stream.
    itSerially("is refused without having run if its caller names no attempt that is known of its team", async t => {
        await using store = new DisposableStore();
        const { fleet, entries } = await start(store, 65);
        const [entry = ""] = entries;
        await callForStream(entry, { callId: "begun", leaveAfter: 4 });
        const calls: readonly StreamCall[] = [
            { callId: "unknown", lastEventId: 4, resumes: "never-begun" },
            { callId: "unnamed", lastEventId: 4 },
            { callId: "foreign", lastEventId: 4, resumes: "begun", apiKey: "key-2" },
        ];
        for (const call of calls) {
            const { status, code, retryAfter } = await callForStream(entry, call);
            t.is(status, 503, call.callId);
            t.is(code, "GH1624", call.callId);
            t.true(retryAfter === undefined || retryAfter > 0);
            t.false(fleet.arrivals.some(({ callId }) => callId === call.callId), call.callId);
        }
        const fresh = await callForStream(entry, { callId: "fresh", resumes: "never-begun" });
        t.true(fresh.isComplete, "begun anew where nothing was received");
    });

    // Guards against refusals while there is nothing to confuse: one version has served for as long as streams last.
    itSerially("goes on, whatever its caller names, while one version serves and has served for long", async t => {
        await using store = new DisposableStore();
        const { fleet, entries: [entry = ""] } = await start(store, 66);
        fleet.remove("v2");
        while ((await callForStream(entry, { callId: "probe", lastEventId: 4 })).status !== 200) {
            await sleep(200);
        }
        const { events } = await callForStream(entry, { callId: "unnamed", lastEventId: 4 });
        t.is(events[0], eventName("v1", 5));
    });

    // Guards against an unknown version that is taken for the same one.
    itSerially("does not go on at an endpoint whose version the platform does not state", async t => {
        await using store = new DisposableStore();
        const { fleet, installation, entries } = await start(store, 67);
        await fleet.start("others", undefined, 2);
        await installation.submitUntilAccepted(documentWith({ service: "others" }, 4));
        const [entry = ""] = entries;
        const begin = (): Promise<ReceivedStream> => callForStream(entry, { callId: "begun", leaveAfter: 4 });
        while (versionsOf([await begin()])[0] !== "undefined") {
            await sleep(50);
        }
        const { status } = await callForStream(entry, { callId: "again", lastEventId: 4, resumes: "begun" });
        t.is(status, 503);
    });

    // Guards against a stream that goes on at another service after its route was split or moved.
    itSerially("goes on only at the service that began it", async t => {
        await using store = new DisposableStore();
        const { fleet, installation, entries } = await start(store, 68);
        await fleet.start("others", "v1", 3);
        const split = { "traffic-split": [{ service: "writers", weight: 50 }, { service: "others", weight: 50 }] };
        await installation.submitUntilAccepted(documentWith(split, 4));
        await sleep(1_000);
        const began = await callAtEach(entries, beginning);
        const again = await takeUpAgain(entries.toReversed(), began);
        const serviceOf = (id: string): string | undefined => {
            return fleet.arrivals.find(({ callId }) => callId === id)?.endpoint.split("-")[1];
        };
        const services = Array.from(began.keys(), index => [serviceOf(`begun-${index}`), serviceOf(`again-${index}`)]);
        t.deepEqual(services.filter(([first, second]) => second !== undefined && first !== second), []);
        t.is(new Set(services.map(([first]) => first)).size, 2, "both services begin streams");
        t.true(shareOfWhole(again) >= acceptedShare, JSON.stringify(again));
        await installation.submitUntilAccepted(documentWith({ service: "others" }, 5));
        await sleep(1_000);
        const later = services.findIndex(([first]) => first === "writers");
        const { status } = await callForStream(entries[0] ?? "", { ...continuationOf(began, later), callId: "moved" });
        t.is(status, 503);
        t.is(serviceOf("moved"), undefined);
    });
});

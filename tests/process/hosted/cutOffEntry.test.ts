import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { cuts, CuttableNetwork } from "./cuttableNetwork.js";
import { HostedInstallation } from "./hostedInstallation.js";
import { callForStream } from "./streamCaller.js";
import type { ReceivedStream } from "./streamCaller.js";
import { eventCount, VersionedFleet } from "./versionedFleet.js";

/** Time from a cut until callers are served at the entry again, in milliseconds. */
const connectivityTime = 3_000;

/** Time for which calls are counted, in milliseconds. */
const countedTime = 2_000;

/** Share of the first attempts that succeed at a cut-off entry at least, compared to the others. */
const acceptedShare = 2 / 3;

const document = documentOf(3, {
    routes: [["summaries", "streaming"], ["look-ups", "safe"], ["bookings", "unsafe"]].map(([name, kind]) => ({
        name,
        "host": "calls.example",
        "path-prefix": `/${name}/`,
        kind,
        "timeout-ms": 4_000,
        "target-latency-ms": 2_000,
        "attempts": 2,
        "resumable": kind === "streaming",
        "service": "writers",
    })),
    services: [{ "name": "writers", "health-check-path": "/health", "connection-limit": 300 }],
});

const paths = ["/summaries/a", "/look-ups/a", "/bookings/a"];

interface StartedInstallation {
    readonly fleet: VersionedFleet;
    readonly networks: readonly CuttableNetwork[];
    readonly installation: HostedInstallation;
    /** Addresses of the entries; the first ones use the networks. */
    readonly entries: readonly string[];
}

/** Starts an installation whose first entries can be cut off; resolves once all entries serve. */
async function start(store: DisposableStore, network: number, cuttable: number): Promise<StartedInstallation> {
    const fleet = store.add(new VersionedFleet());
    await fleet.start("writers", "v1", 5);
    const installation = store.add(
        await HostedInstallation.start(network, () => undefined, 0, () => fleet.listRows()),
    );
    await installation.submitUntilAccepted(document);
    const networks: CuttableNetwork[] = [];
    const entries: string[] = [];
    for (let index = 0; index < cuttable; index++) {
        const cuttableNetwork = store.add(new CuttableNetwork());
        await cuttableNetwork.addEndpoints(fleet.addresses);
        networks.push(cuttableNetwork);
        entries.push(await installation.startFurtherEntry(101 + index, cuttableNetwork.open));
    }
    entries.push(installation.callerAddress);
    for (const entry of entries) {
        while ((await callForStream(entry, { callId: "first" })).status !== 200) {
            await sleep(50);
        }
    }
    return { fleet, networks, installation, entries };
}

/** Makes calls of all routes at an entry for a time. */
async function callFor(duration: number, entry: string, name: string): Promise<readonly ReceivedStream[]> {
    const calls: Promise<ReceivedStream>[] = [];
    const startedAt = performance.now();
    for (let number = 0; performance.now() - startedAt < duration; number++) {
        calls.push(callForStream(entry, { callId: `${name}-${number}`, path: paths[number % paths.length] ?? "" }));
        await sleep(40);
    }
    return Promise.all(calls);
}

function shareServed(calls: readonly ReceivedStream[]): number {
    return calls.filter(({ status, isComplete, events }) => {
        return status === 200 && isComplete && events.length === eventCount;
    }).length / calls.length;
}

describe("entry that reaches no endpoint", () => {
    cuts.forEach((cut, index) => {
        // Guards against callers that get nothing at an entry without links to endpoints, while other entries serve.
        itSerially(`serves its callers as other entries do, and itself again after the cut (${cut})`, async t => {
            await using store = new DisposableStore();
            const { networks: [network], entries: [entry = "", other = ""] } = await start(store, 71 + index, 1);
            network?.cutOff(cut);
            await callFor(connectivityTime, entry, "early");
            const [atEntry, atOther] = await Promise.all([
                callFor(countedTime, entry, "cut"),
                callFor(countedTime, other, "other"),
            ]);
            t.true(shareServed(atEntry) >= acceptedShare * shareServed(atOther), JSON.stringify(atEntry));
            t.true(shareServed(atOther) >= acceptedShare, JSON.stringify(atOther));
            network?.heal();
            await callFor(connectivityTime, entry, "healing");
            const sentBytes = network?.sentBytes ?? 0;
            t.true(shareServed(await callFor(countedTime, entry, "healed")) >= acceptedShare);
            t.true((network?.sentBytes ?? 0) > sentBytes, "endpoints are called directly again");
        });
    });

    // Guards against a cut of most entries, which leaves few to serve the callers of all.
    itSerially("serves its callers while most entries are cut off", async t => {
        await using store = new DisposableStore();
        const { networks, entries } = await start(store, 74, 2);
        networks.forEach(network => {
            network.cutOff("silent");
        });
        await Promise.all(entries.map(entry => callFor(connectivityTime, entry, "early")));
        const served = await Promise.all(entries.map((entry, index) => callFor(countedTime, entry, `cut-${index}`)));
        const [first = 0, second = 0, other = 0] = served.map(shareServed);
        t.true(first >= acceptedShare * other && second >= acceptedShare * other, `${first} ${second} ${other}`);
        t.true(other >= acceptedShare);
    });
});

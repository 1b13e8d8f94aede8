import { Cluster } from "../../src/quickstart/cluster.js";
import { createQuickstartManifest } from "../../src/quickstart/quickstartManifest.js";
import { PlainService } from "../../src/standIn/plainService/plainService.js";
import { EngineStarter } from "../../src/standIn/platform/engineStarter.js";
import { Platform } from "../../src/standIn/platform/platform.js";
import { SystemClock } from "../../src/util/clock.js";
import { generateKey } from "../../src/util/generateKey.js";
import { describe, it } from "../describe.js";
import { callEntry, leader, submit, until, waitInForce } from "./clusterCalls.js";
import type { TestedCluster } from "./clusterCalls.js";

const clock = new SystemClock();
const bookingsPerRound = 20;

describe("usage reports", () => {
    it("reach the platform with one set of figures for each window, though leaders are stopped and lost", async t => {
        await using platform = new Platform({}, clock, new EngineStarter(clock));
        await using service = new PlainService({ name: "bookings-1" }, clock);
        await using cluster = new Cluster(3, { usageReportAddress: await platform.start() });
        const tested = await startBilled(cluster, await service.start());

        await book(tested);
        await until(() => Promise.resolve(reportedRequests(platform) === bookingsPerRound));
        const stopped = await leader(tested);
        stopped.startedProgram.suspend();
        await book(tested);
        await until(() => Promise.resolve(reportedRequests(platform) === 2 * bookingsPerRound));
        stopped.startedProgram.resume();
        const lost = await leader(tested);
        await lost.kill();
        await book(tested);
        await until(() => Promise.resolve(reportedRequests(platform) === 3 * bookingsPerRound));

        t.is(service.executions.all.length, 3 * bookingsPerRound);
        t.deepEqual(platform.acts.findOutdated(), []);
        t.deepEqual(platform.acts.all.filter(act => act.outcome === "refused"), []);
    });
});

/** Starts the cluster with windows of one second. */
async function startBilled(cluster: Cluster, serviceAddress: string): Promise<TestedCluster> {
    await cluster.start();
    const tested = { cluster, keys: [generateKey(), generateKey()] as const, serviceAddress, engineAddresses: [] };
    const billing = { currency: "AUD", cutPerMillion: 50_000, windowSeconds: 1 };
    const manifest = { ...createQuickstartManifest({ ...tested, number: 1 }), billing };
    const inForce = await waitInForce(tested, await submit(tested, JSON.stringify(manifest)));
    if (inForce.status !== 200) {
        throw new Error(`The manifest is not in force: ${JSON.stringify(inForce.body)}`);
    }
    return tested;
}

/** Sends a round of bookings over all entries; each is repeated under its key until it was answered. */
async function book(tested: TestedCluster): Promise<void> {
    const addresses = tested.cluster.entryAddresses;
    await Promise.all([...Array(bookingsPerRound).keys()].map(async index => {
        const key = generateKey().slice(-16);
        const address = addresses[index % addresses.length] ?? "";
        const send = (): ReturnType<typeof callEntry> =>
            callEntry(address, tested.keys[0], "/bookings/places", "{}", { "idempotency-key": key });
        await until(async () => (await send()).status === 200);
    }));
}

/** Requests in all windows that the platform has taken. */
function reportedRequests(platform: Platform): number {
    const windows = Object.values(platform.usageReports.accepted).map(text => JSON.parse(text) as SealedWindowText);
    return windows.reduce((sum, window) => sum + window.totals.requests, 0);
}

interface SealedWindowText {
    readonly totals: { readonly requests: number; };
}

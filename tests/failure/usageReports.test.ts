import { Cluster } from "../../src/quickstart/cluster.js";
import { createQuickstartManifest } from "../../src/quickstart/quickstartManifest.js";
import { PlainService } from "../../src/standIn/plainService/plainService.js";
import { EngineStarter } from "../../src/standIn/platform/engineStarter.js";
import { Platform } from "../../src/standIn/platform/platform.js";
import { SystemClock } from "../../src/util/clock.js";
import { generateKey } from "../../src/util/generateKey.js";
import { describe, it } from "../describe.js";
import { callEntry, findLeader, submitManifest, waitUntil, waitUntilInForce } from "./testedCluster.js";
import type { TestedCluster } from "./testedCluster.js";

const clock = new SystemClock();
const bookingsPerRound = 20;

describe("usage reports", () => {
    it("reach the platform with one set of totals per window when leaders are suspended and killed", async t => {
        await using platform = new Platform({}, clock, new EngineStarter(clock));
        await using service = new PlainService({ name: "bookings-1" }, clock);
        await using cluster = new Cluster(3, { usageReportAddress: await platform.start() });
        const tested = await startClusterWithBilling(cluster, await service.start());

        await sendBookings(tested);
        await waitUntil(() => Promise.resolve(countReportedRequests(platform) === bookingsPerRound));
        const suspendedLeader = await findLeader(tested);
        suspendedLeader.startedProgram.suspend();
        await sendBookings(tested);
        await waitUntil(() => Promise.resolve(countReportedRequests(platform) === 2 * bookingsPerRound));
        suspendedLeader.startedProgram.resume();
        const killedLeader = await findLeader(tested);
        await killedLeader.kill();
        await sendBookings(tested);
        await waitUntil(() => Promise.resolve(countReportedRequests(platform) === 3 * bookingsPerRound));

        t.is(service.executions.all.length, 3 * bookingsPerRound);
        t.deepEqual(platform.acts.findOutdated(), []);
        t.deepEqual(platform.acts.all.filter(act => act.outcome === "refused"), []);
    });
});

/** Starts the cluster with usage windows of one second. */
async function startClusterWithBilling(cluster: Cluster, serviceAddress: string): Promise<TestedCluster> {
    await cluster.start();
    const tested = { cluster, keys: [generateKey(), generateKey()] as const, serviceAddress, engineAddresses: [] };
    const billing = { currency: "AUD", cutPerMillion: 50_000, windowSeconds: 1 };
    const manifest = { ...createQuickstartManifest({ ...tested, number: 1 }), billing };
    const inForce = await waitUntilInForce(tested, await submitManifest(tested, JSON.stringify(manifest)));
    if (inForce.status !== 200) {
        throw new Error(`Manifest did not come into force: ${JSON.stringify(inForce.body)}`);
    }
    return tested;
}

/** Sends a round of bookings over all entries; repeats each with its idempotency key until it succeeds. */
async function sendBookings(tested: TestedCluster): Promise<void> {
    const addresses = tested.cluster.entryAddresses;
    await Promise.all([...Array(bookingsPerRound).keys()].map(async index => {
        const idempotencyKey = generateKey().slice(-16);
        const address = addresses[index % addresses.length] ?? "";
        const send = (): ReturnType<typeof callEntry> =>
            callEntry(address, tested.keys[0], "/bookings/places", "{}", { "idempotency-key": idempotencyKey });
        await waitUntil(async () => (await send()).status === 200);
    }));
}

/** Counts the requests in all usage windows that the platform has accepted. */
function countReportedRequests(platform: Platform): number {
    const windows = Object.values(platform.usageReports.accepted).map(text => JSON.parse(text) as UsageWindow);
    return windows.reduce((sum, window) => sum + window.totals.requests, 0);
}

/** The part of a reported usage window that the test reads. */
interface UsageWindow {
    readonly totals: { readonly requests: number; };
}

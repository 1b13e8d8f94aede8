import { Cluster } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { generateKey } from "../../util/generateKey.js";
import { MeasuredCluster } from "../measuredCluster.js";
import { createSyntheticManifest, syntheticTeamName } from "../slopes/syntheticManifest.js";
import { StatusPoller } from "./statusPoller.js";

const unauthorizedStatus = 401;

/** Status of a request with a valid key to a path without a route. */
const notFoundStatus = 404;

/** Interval between two checks of a condition, in milliseconds. */
const checkInterval: Milliseconds = 5;

/** Measures the times from accepting the withdrawal of a key until every connected entry rejects it, in milliseconds. */
export async function measureKeyWithdrawals(repetitions: number, clock: Clock): Promise<readonly Milliseconds[]> {
    await using cluster = new Cluster();
    await cluster.start();
    const measured = new MeasuredCluster(cluster, clock);
    const shape = { teams: 10, pools: 1, endpoints: 0 };
    await measured.submitManifest(number => createSyntheticManifest({ number, ...shape }));
    await measured.waitForLeader();
    const times: Milliseconds[] = [];
    for (let repetition = 0; repetition < repetitions; repetition++) {
        times.push(await measureKeyWithdrawal(measured, `withdrawn-${repetition}`, clock));
    }
    return times;
}

async function measureKeyWithdrawal(measured: MeasuredCluster, name: string, clock: Clock): Promise<Milliseconds> {
    const key = generateKey();
    await measured.waitInForce(await measured.issueKey(syntheticTeamName(0), name, key));
    const pollers = measured.cluster.entryAddresses.map(address => {
        return new StatusPoller({ address, method: "GET", path: "/nowhere", token: key }, clock);
    });
    while (pollers.some(poller => poller.lastWithStatus(notFoundStatus) === undefined)) {
        await clock.sleep(checkInterval);
    }
    await measured.withdrawKey(key);
    const acceptedAt = clock.now();
    while (pollers.some(poller => poller.lastWithStatus(unauthorizedStatus) === undefined)) {
        await clock.sleep(checkInterval);
    }
    await Promise.all(pollers.map(poller => poller[Symbol.asyncDispose]()));
    const firstRejections = pollers.map(poller =>
        poller.firstSince(0, unauthorizedStatus)?.receivedAt ?? Number.POSITIVE_INFINITY
    );
    return Math.max(0, Math.max(...firstRejections) - acceptedAt);
}

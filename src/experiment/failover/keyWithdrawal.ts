import { Cluster } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { createKey } from "../../util/createKey.js";
import { MeasuredCluster } from "../measuredCluster.js";
import { slopeManifest, slopeTeam } from "../slopes/slopeManifest.js";
import { StatusPoll } from "./statusPoll.js";

const unauthorized = 401;

/** What an accepted key gets for a path without a route. */
const notFound = 404;

/** Pause between two looks at what is waited for, in milliseconds. */
const pause: Milliseconds = 5;

/** Times from the acceptance of a key's withdrawal until every connected entry refuses it, in milliseconds. */
export async function measureKeyWithdrawals(repetitions: number, clock: Clock): Promise<readonly Milliseconds[]> {
    await using cluster = new Cluster();
    await cluster.start();
    const measured = new MeasuredCluster(cluster, clock);
    const shape = { teams: 10, pools: 1, endpoints: 0 };
    await measured.submit(number => slopeManifest({ number, ...shape }));
    await measured.findLeader();
    const times: Milliseconds[] = [];
    for (let repetition = 0; repetition < repetitions; repetition++) {
        times.push(await measureOne(measured, `withdrawn-${repetition}`, clock));
    }
    return times;
}

async function measureOne(measured: MeasuredCluster, name: string, clock: Clock): Promise<Milliseconds> {
    const key = createKey();
    await measured.waitInForce(await measured.issueKey(slopeTeam(0), name, key));
    const polls = measured.cluster.entryAddresses.map(address => {
        return new StatusPoll({ address, method: "GET", path: "/nowhere", token: key }, clock);
    });
    while (polls.some(poll => poll.last(notFound) === undefined)) {
        await clock.sleep(pause);
    }
    await measured.withdrawKey(key);
    const acceptedAt = clock.now();
    while (polls.some(poll => poll.last(unauthorized) === undefined)) {
        await clock.sleep(pause);
    }
    await Promise.all(polls.map(poll => poll[Symbol.asyncDispose]()));
    const refusedAt = polls.map(poll => poll.firstAfter(0, unauthorized)?.answeredAt ?? Number.POSITIVE_INFINITY);
    return Math.max(0, Math.max(...refusedAt) - acceptedAt);
}

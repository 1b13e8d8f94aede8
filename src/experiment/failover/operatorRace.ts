import { OperatorClient } from "../../operator/operatorClient.js";
import { Cluster } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { MeasuredCluster } from "../measuredCluster.js";

/** Staggers that are compared; the longest exceeds the time limit of a call, so that calls follow one another. */
const staggers: readonly Milliseconds[] = [500, 60_000];

const call = { method: "GET", path: "/v1/status" };

/** Operators' calls while one control process is stopped, or none. */
export interface OperatorRace {
    readonly stagger: Milliseconds;
    /** Whether the control process that is asked first is stopped. */
    readonly firstStopped: boolean;
    /** Time of each call, in milliseconds, in ascending order. */
    readonly times: readonly Milliseconds[];
    /** Calls sent to control processes for each call of the operator. */
    readonly callsSent: number;
}

/** Measures calls that ask a stopped control process first, with and without a staggered race. */
export async function measureOperatorRace(repetitions: number, clock: Clock): Promise<readonly OperatorRace[]> {
    await using cluster = new Cluster(0);
    await cluster.start();
    const leader = await new MeasuredCluster(cluster, clock).findLeader();
    const leaderIndex = cluster.controls.indexOf(leader);
    const followerIndex = (leaderIndex + 1) % cluster.controls.length;
    const addressOf = (index: number): string => cluster.operatorAddresses[index] ?? "";
    const healthy = [addressOf(leaderIndex), addressOf(followerIndex)];
    const stopped = [addressOf(followerIndex), addressOf(leaderIndex)];
    const races: OperatorRace[] = [];
    for (const stagger of staggers) {
        races.push(await measureOne(cluster, healthy, { stagger, firstStopped: false }, repetitions, clock));
    }
    const follower = cluster.controls[followerIndex];
    follower?.started.pause();
    for (const stagger of staggers) {
        races.push(await measureOne(cluster, stopped, { stagger, firstStopped: true }, repetitions, clock));
    }
    follower?.started.resume();
    return races;
}

async function measureOne(
    cluster: Cluster,
    addresses: readonly string[],
    setting: Pick<OperatorRace, "stagger" | "firstStopped">,
    repetitions: number,
    clock: Clock,
): Promise<OperatorRace> {
    const client = new OperatorClient(addresses, cluster.operatorToken, clock, setting.stagger);
    const times: Milliseconds[] = [];
    for (let repetition = 0; repetition < repetitions; repetition++) {
        const start = clock.now();
        (await client.call(call)).unwrap();
        times.push(clock.now() - start);
    }
    times.sort((left, right) => left - right);
    return { ...setting, times, callsSent: client.callsSent / repetitions };
}

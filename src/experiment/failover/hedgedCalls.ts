import { OperatorClient } from "../../operator/operatorClient.js";
import { Cluster } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { MeasuredCluster } from "../measuredCluster.js";

/** Hedging delays to compare, in milliseconds; the second exceeds the call timeout and so turns hedging off. */
const staggers: readonly Milliseconds[] = [500, 60_000];

const statusCall = { method: "GET", path: "/v1/status" };

/** Times of operator calls that are hedged: sent to a second control process if the first has not responded in time. */
export interface HedgedCallMeasurement {
    /** Time without a response after which the next control process is called as well. */
    readonly stagger: Milliseconds;
    /** Whether the control process that is called first is suspended. */
    readonly firstStopped: boolean;
    /** Time of each operator call, in ascending order. */
    readonly times: readonly Milliseconds[];
    /** Mean number of calls sent to control processes for each operator call. */
    readonly callsSent: number;
}

/** Measures operator calls with and without hedging, while the control process called first runs or is suspended. */
export async function measureHedgedCalls(repetitions: number, clock: Clock): Promise<readonly HedgedCallMeasurement[]> {
    await using cluster = new Cluster(0);
    await cluster.start();
    const leader = await new MeasuredCluster(cluster, clock).waitForLeader();
    const leaderIndex = cluster.controls.indexOf(leader);
    const followerIndex = (leaderIndex + 1) % cluster.controls.length;
    const addressOf = (index: number): string => cluster.operatorAddresses[index] ?? "";
    const leaderFirst = [addressOf(leaderIndex), addressOf(followerIndex)];
    const followerFirst = [addressOf(followerIndex), addressOf(leaderIndex)];
    const measurements: HedgedCallMeasurement[] = [];
    for (const stagger of staggers) {
        measurements.push(
            await measureCalls(cluster, leaderFirst, { stagger, firstStopped: false }, repetitions, clock),
        );
    }
    const follower = cluster.controls[followerIndex];
    follower?.startedProgram.suspend();
    for (const stagger of staggers) {
        measurements.push(
            await measureCalls(cluster, followerFirst, { stagger, firstStopped: true }, repetitions, clock),
        );
    }
    follower?.startedProgram.resume();
    return measurements;
}

async function measureCalls(
    cluster: Cluster,
    addresses: readonly string[],
    scenario: Pick<HedgedCallMeasurement, "stagger" | "firstStopped">,
    repetitions: number,
    clock: Clock,
): Promise<HedgedCallMeasurement> {
    const client = new OperatorClient(addresses, cluster.operatorToken, clock, scenario.stagger);
    const times: Milliseconds[] = [];
    for (let repetition = 0; repetition < repetitions; repetition++) {
        const startedAt = clock.now();
        (await client.call(statusCall)).unwrap();
        times.push(clock.now() - startedAt);
    }
    times.sort((left, right) => left - right);
    return { ...scenario, times, callsSent: client.sentCallCount / repetitions };
}

import { match } from "ts-pattern";
import { Cluster } from "../../quickstart/cluster.js";
import type { ClusterProcess } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { generateKey } from "../../util/generateKey.js";
import { keyDigest } from "../../util/keyDigest.js";
import { MeasuredCluster } from "../measuredCluster.js";
import { createSyntheticManifest } from "../slopes/syntheticManifest.js";
import { longestRunDuration, StatusPoller } from "./statusPoller.js";

/** How a leader is stopped: killed, shut down gracefully, or suspended for a while without noticing. */
export type LeaderStopKind = "killed" | "graceful" | "paused";

/** Times measured after a leader is stopped. */
export interface FailoverTimes {
    readonly kind: LeaderStopKind;
    /** Time until another leader commits, from the stop or, for a graceful shutdown, from the old leader's last commit. */
    readonly withoutLeader: Milliseconds;
    /** Time from the stop until another leader holds the leader lease; it must wait until the old lease has ended. */
    readonly withoutLease: Milliseconds;
    /** Longest time during which an entry refused callers because it held no valid permit. */
    readonly longestRefusal: Milliseconds;
}

/** How long entries are polled after another control process holds the lease, in milliseconds. */
const observationTime: Milliseconds = 5_000;

/** Interval between two checks of a condition, in milliseconds. */
const checkInterval: Milliseconds = 10;

/** Time for the pollers to record the state before the stop, in milliseconds. */
const settleTime: Milliseconds = 1_000;

const okStatus = 200;
const unavailableStatus = 503;

/** Stops the leader of a new cluster of three control processes and three entries and measures the failover. */
export async function measureFailover(kind: LeaderStopKind, clock: Clock): Promise<FailoverTimes> {
    await using cluster = new Cluster();
    await cluster.start();
    const measured = new MeasuredCluster(cluster, clock);
    const shape = { teams: 10, pools: 1, endpoints: 0 };
    await measured.waitInForce(await measured.submitManifest(number => createSyntheticManifest({ number, ...shape })));
    const leader = await measured.waitForLeader();
    const leaderIndex = cluster.controls.indexOf(leader);
    const leasePollers = cluster.operatorAddresses.map(address =>
        startLeasePoller(address, cluster.operatorToken, clock)
    );
    const commitPollers = cluster.operatorAddresses.map(address =>
        startCommitPoller(address, cluster.operatorToken, clock)
    );
    const entryPollers = cluster.entryAddresses.map(address => startEntryPoller(address, clock));
    await clock.sleep(settleTime);
    const stoppedAt = clock.now();
    const stopCompletion = stopLeader(kind, leader);
    const nextCommitAt = await waitForOk(excludeAt(commitPollers, leaderIndex), stoppedAt, clock);
    const nextLeaseAt = await waitForOk(excludeAt(leasePollers, leaderIndex), stoppedAt, clock);
    const lastCommitAt = commitPollers[leaderIndex]?.lastWithStatus(okStatus)?.receivedAt ?? stoppedAt;
    await clock.sleep(observationTime);
    if (kind === "paused") {
        leader.startedProgram.resume();
    }
    await stopCompletion;
    await Promise.all(
        [...leasePollers, ...commitPollers, ...entryPollers].map(poller => poller[Symbol.asyncDispose]()),
    );
    return {
        kind,
        withoutLeader: kind === "graceful" ? Math.max(0, nextCommitAt - lastCommitAt) : nextCommitAt - stoppedAt,
        withoutLease: nextLeaseAt - stoppedAt,
        longestRefusal: Math.max(...entryPollers.map(poller => longestRunDuration(poller.results, unavailableStatus))),
    };
}

function excludeAt(pollers: readonly StatusPoller[], index: number): readonly StatusPoller[] {
    return pollers.filter(poller => poller !== pollers[index]);
}

/** Requests the cluster status, which only the holder of the leader lease returns. */
function startLeasePoller(address: string, token: string, clock: Clock): StatusPoller {
    return new StatusPoller({ address, method: "GET", path: "/v1/status", token }, clock);
}

/** Withdraws the same key repeatedly; every successful response requires a commit. */
function startCommitPoller(address: string, token: string, clock: Clock): StatusPoller {
    const body = JSON.stringify({ digest: keyDigest("ghk_withdrawn") });
    return new StatusPoller({ address, method: "POST", path: "/v1/keys/withdraw", token, body }, clock);
}

/** Sends requests with an unknown key; an entry with a valid permit rejects the key, one without refuses the request. */
function startEntryPoller(address: string, clock: Clock): StatusPoller {
    const body = "{\"model\":\"model-0\",\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}";
    return new StatusPoller(
        { address, method: "POST", path: "/v1/chat/completions", token: generateKey(), body },
        clock,
    );
}

function stopLeader(kind: LeaderStopKind, leader: ClusterProcess): Promise<void> {
    return match(kind)
        .with("killed", () => leader.kill())
        .with("graceful", () => leader[Symbol.asyncDispose]())
        .with("paused", async () => {
            leader.startedProgram.suspend();
            await Promise.resolve();
        })
        .exhaustive();
}

async function waitForOk(pollers: readonly StatusPoller[], since: Milliseconds, clock: Clock): Promise<Milliseconds> {
    for (;;) {
        const found = pollers.map(poller => poller.firstSince(since, okStatus)).find(result => result !== undefined);
        if (found !== undefined) {
            return found.receivedAt;
        }
        await clock.sleep(checkInterval);
    }
}

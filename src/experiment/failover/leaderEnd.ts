import { match } from "ts-pattern";
import { Cluster } from "../../quickstart/cluster.js";
import type { ClusterMember } from "../../quickstart/cluster.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { createKey } from "../../util/createKey.js";
import { keyDigest } from "../../util/keyDigest.js";
import { MeasuredCluster } from "../measuredCluster.js";
import { slopeManifest } from "../slopes/slopeManifest.js";
import { longestRun, StatusPoll } from "./statusPoll.js";

/** How a leader ends: at once, gracefully, or stopped for a time without noticing. */
export type EndKind = "killed" | "graceful" | "paused";

/** What followed the end of a leader. */
export interface LeaderEnd {
    readonly kind: EndKind;
    /** From the end, or from the old leader's last commit where it ends gracefully, until another one commits. */
    readonly withoutLeader: Milliseconds;
    /** From the end until another one holds the lease to act, which it must wait for. */
    readonly withoutLease: Milliseconds;
    /** Longest time for which an entry refused callers for want of a permit. */
    readonly longestRefusal: Milliseconds;
}

/** How long entries are watched after another control process leads, in milliseconds. */
const watchedAfter: Milliseconds = 5_000;

/** Pause between two looks at what is waited for, in milliseconds. */
const pause: Milliseconds = 10;

/** Time for the polls to have seen the cluster as it was, in milliseconds. */
const settleTime: Milliseconds = 1_000;

const leads = 200;
const refusedForPermit = 503;

/** Ends the leader of a fresh cluster of three control processes and three entries. */
export async function measureLeaderEnd(kind: EndKind, clock: Clock): Promise<LeaderEnd> {
    await using cluster = new Cluster();
    await cluster.start();
    const measured = new MeasuredCluster(cluster, clock);
    const shape = { teams: 10, pools: 1, endpoints: 0 };
    await measured.waitInForce(await measured.submit(number => slopeManifest({ number, ...shape })));
    const leader = await measured.findLeader();
    const leaderIndex = cluster.controls.indexOf(leader);
    const leases = cluster.operatorAddresses.map(address => pollLease(address, cluster.operatorToken, clock));
    const commits = cluster.operatorAddresses.map(address => pollCommit(address, cluster.operatorToken, clock));
    const entries = cluster.entryAddresses.map(address => pollEntry(address, clock));
    await clock.sleep(settleTime);
    const endedAt = clock.now();
    const ended = end(kind, leader);
    const successorAt = await firstLead(without(commits, leaderIndex), endedAt, clock);
    const leaseAt = await firstLead(without(leases, leaderIndex), endedAt, clock);
    const lastCommitAt = commits[leaderIndex]?.last(leads)?.answeredAt ?? endedAt;
    await clock.sleep(watchedAfter);
    if (kind === "paused") {
        leader.started.resume();
    }
    await ended;
    await Promise.all([...leases, ...commits, ...entries].map(poll => poll[Symbol.asyncDispose]()));
    return {
        kind,
        withoutLeader: kind === "graceful" ? Math.max(0, successorAt - lastCommitAt) : successorAt - endedAt,
        withoutLease: leaseAt - endedAt,
        longestRefusal: Math.max(...entries.map(poll => longestRun(poll.statuses, refusedForPermit))),
    };
}

function without(polls: readonly StatusPoll[], excluded: number): readonly StatusPoll[] {
    return polls.filter(poll => poll !== polls[excluded]);
}

/** Asks for the status, which only the holder of the lease answers. */
function pollLease(address: string, token: string, clock: Clock): StatusPoll {
    return new StatusPoll({ address, method: "GET", path: "/v1/status", token }, clock);
}

/** Withdraws one and the same key again and again; each answer follows a commit. */
function pollCommit(address: string, token: string, clock: Clock): StatusPoll {
    const body = JSON.stringify({ digest: keyDigest("ghk_withdrawn") });
    return new StatusPoll({ address, method: "POST", path: "/v1/keys/withdraw", token, body }, clock);
}

/** Calls with an unknown key, which an entry that holds a permit refuses as such. */
function pollEntry(address: string, clock: Clock): StatusPoll {
    const body = "{\"model\":\"model-0\",\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}";
    return new StatusPoll({ address, method: "POST", path: "/v1/chat/completions", token: createKey(), body }, clock);
}

function end(kind: EndKind, leader: ClusterMember): Promise<void> {
    return match(kind)
        .with("killed", () => leader.kill())
        .with("graceful", () => leader[Symbol.asyncDispose]())
        .with("paused", async () => {
            leader.started.pause();
            await Promise.resolve();
        })
        .exhaustive();
}

async function firstLead(polls: readonly StatusPoll[], time: Milliseconds, clock: Clock): Promise<Milliseconds> {
    for (;;) {
        const found = polls.map(poll => poll.firstAfter(time, leads)).find(answer => answer !== undefined);
        if (found !== undefined) {
            return found.answeredAt;
        }
        await clock.sleep(pause);
    }
}

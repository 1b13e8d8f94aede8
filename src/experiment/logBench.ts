/**
 * Measures the replicated log and prints the results as JSON.
 *
 * All members run in this process, with TCP connections on the loopback interface and files with sync enabled. They share
 * one core and one disk, so that separate VMs perform better. Run it with `node dist/src/experiment/logBench.js`.
 */
import { build } from "hdr-histogram-js";
import { mkdtemp, rm } from "node:fs/promises";
import { cpus, tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { StateMachine } from "../process/replicatedLog/commandLog.js";
import type { LocalGroup } from "./localLogMember.js";
import { LocalLogMember } from "./localLogMember.js";

/** Size of each command, in bytes. */
const commandBytes = 200;

/** Duration of each measurement of the commit rate, in milliseconds. */
const commitDuration = 3000;

/** Numbers of concurrent proposals. */
const concurrencies = [1, 16, 256];

/** Log lengths for the recovery measurements, in entries. */
const logLengths = [1000, 10_000, 100_000];

/** Number of measurements of the time without a leader. */
const failoverRounds = 5;

/** Snapshot interval that no measured log reaches. */
const noSnapshotInterval = 1_000_000_000;

/** State machine that stores the number of commands and the last command. */
class LastCommandMachine extends StateMachine<string, number> {
    private count = 0;
    private last = "";

    override apply(command: string): number {
        this.count += 1;
        this.last = command;
        return this.count;
    }

    override snapshot(): Uint8Array {
        return Buffer.from(JSON.stringify([this.count, this.last]));
    }

    override restore(snapshot: Uint8Array): void {
        [this.count, this.last] = JSON.parse(Buffer.from(snapshot).toString()) as [number, string];
    }
}

type Member = LocalLogMember<LastCommandMachine>;

/** A group and its members, by index. */
interface StartedGroup {
    readonly group: LocalGroup;
    readonly members: readonly Member[];
}

/** Commit rate, and commit latency from proposal to result. */
interface CommitResult {
    readonly members: number;
    readonly concurrency: number;
    readonly commitsPerSecond: number;
    readonly p50Milliseconds: number;
    readonly p99Milliseconds: number;
}

/** Time to open the log of a restarted member, by its number of entries, with or without a snapshot. */
interface RecoveryResult {
    readonly entries: number;
    readonly snapshot: boolean;
    readonly openMilliseconds: number;
}

/** Times from the end of a leader until its successor has committed a command, in ascending order. */
interface FailoverResult {
    readonly members: number;
    readonly end: "vanished" | "stopped";
    readonly milliseconds: readonly number[];
}

async function withGroup<T>(
    size: number,
    snapshotInterval: number,
    action: (started: StartedGroup) => Promise<T>,
): Promise<T> {
    const folder = await mkdtemp(join(tmpdir(), "gullhall-log-bench-"));
    try {
        const group = { folder, addresses: await LocalLogMember.findFreeAddresses(size), snapshotInterval };
        const indexes = [...group.addresses.keys()];
        const members = await Promise.all(indexes.map(async index => startMember(group, index)));
        return await action({ group, members });
    }
    finally {
        await rm(folder, { recursive: true });
    }
}

async function startMember(group: LocalGroup, index: number): Promise<Member> {
    return LocalLogMember.start(group, index, new LastCommandMachine());
}

async function stopAll(members: readonly Member[]): Promise<void> {
    await Promise.all(members.map(async member => member.stop()));
}

async function measureCommits(size: number, concurrency: number): Promise<CommitResult> {
    return withGroup(size, 10_000, async ({ members }) => {
        const leader = await LocalLogMember.waitForLeader(members);
        const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
        const command = "x".repeat(commandBytes);
        const startedAt = performance.now();
        const proposeSequentially = async (): Promise<void> => {
            while (performance.now() - startedAt < commitDuration) {
                const proposedAt = performance.now();
                (await leader.log.propose(command)).unwrap();
                histogram.recordValue(Math.round((performance.now() - proposedAt) * 1000));
            }
        };
        await Promise.all(Array.from({ length: concurrency }, proposeSequentially));
        const seconds = (performance.now() - startedAt) / 1000;
        await stopAll(members);
        return {
            members: size,
            concurrency,
            commitsPerSecond: Math.round(histogram.totalCount / seconds),
            p50Milliseconds: histogram.getValueAtPercentile(50) / 1000,
            p99Milliseconds: histogram.getValueAtPercentile(99) / 1000,
        };
    });
}

async function measureRecovery(entries: number, snapshot: boolean): Promise<RecoveryResult> {
    return withGroup(1, snapshot ? Math.floor(entries / 2) - 1 : noSnapshotInterval, async ({ group, members }) => {
        const leader = await LocalLogMember.waitForLeader(members);
        const command = "x".repeat(commandBytes);
        for (let written = 0; written < entries; written += 1000) {
            await Promise.all(Array.from({ length: 1000 }, async () => leader.log.propose(command)));
        }
        const { lastPosition } = leader.log.status();
        await stopAll(members);
        const startedAt = performance.now();
        const restarted = await startMember(group, 0);
        const openMilliseconds = roundToTenth(performance.now() - startedAt);
        await restarted.log.waitForPosition(lastPosition);
        await restarted.stop();
        return { entries, snapshot, openMilliseconds };
    });
}

async function measureFailover(size: number, end: FailoverResult["end"]): Promise<FailoverResult> {
    const milliseconds: number[] = [];
    for (let round = 0; round < failoverRounds; round += 1) {
        milliseconds.push(
            await withGroup(size, 10_000, async ({ members }) => {
                const leader = await LocalLogMember.waitForLeader(members);
                (await leader.log.propose("before")).unwrap();
                const others = members.filter(member => member !== leader);
                const startedAt = performance.now();
                const leaderEnd = end === "vanished" ? leader.disconnect() : leader.stop();
                const successor = await LocalLogMember.waitForLeader(others);
                (await successor.log.propose("after")).unwrap();
                const duration = roundToTenth(performance.now() - startedAt);
                await leaderEnd;
                await stopAll(end === "vanished" ? members : others);
                return duration;
            }),
        );
    }
    return { members: size, end, milliseconds: milliseconds.sort((a, b) => a - b) };
}

function roundToTenth(milliseconds: number): number {
    return Math.round(milliseconds * 10) / 10;
}

async function measureAll(): Promise<void> {
    const commits: CommitResult[] = [];
    const leaderless: FailoverResult[] = [];
    for (const size of [3, 5]) {
        for (const concurrency of concurrencies) {
            commits.push(await measureCommits(size, concurrency));
        }
        leaderless.push(await measureFailover(size, "vanished"), await measureFailover(size, "stopped"));
    }
    const recovery: RecoveryResult[] = [];
    for (const entries of logLengths) {
        recovery.push(await measureRecovery(entries, false), await measureRecovery(entries, true));
    }
    const machine = `${cpus().length} processors, Node.js ${process.version}`;
    console.log(JSON.stringify({ machine, commandBytes, commits, leaderless, recovery }, undefined, 2));
}

await measureAll();

/**
 * Measures the replicated log and prints the figures as JSON.
 *
 * All members run in this one process, over real TCP on the loopback interface and real files with sync on; they share
 * one core and one disk, so that separate VMs do better. Run it with `node dist/src/experiment/logBench.js`.
 */
import { build } from "hdr-histogram-js";
import { mkdtemp, rm } from "node:fs/promises";
import { cpus, tmpdir } from "node:os";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { StateMachine } from "../process/replicatedLog/commandLog.js";
import type { LocalGroup } from "./localLogMember.js";
import { LocalLogMember } from "./localLogMember.js";

/** Bytes of each command. */
const commandBytes = 200;

/** How long each commit rate is measured, in milliseconds. */
const commitDuration = 3000;

/** Proposals under way at once. */
const concurrencies = [1, 16, 256];

/** Lengths of the log for recovery, in entries. */
const logLengths = [1000, 10_000, 100_000];

/** How often the time without a leader is measured. */
const leaderlessRounds = 5;

/** An interval that no measured log reaches. */
const noSnapshots = 1_000_000_000;

/** A state machine whose state is the number of commands and the last one. */
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

/** Speed of commits. */
interface CommitFigures {
    readonly members: number;
    readonly concurrency: number;
    readonly commitsPerSecond: number;
    readonly p50Milliseconds: number;
    readonly p99Milliseconds: number;
}

/** Time from the start of a member until its state is whole again. */
interface RecoveryFigures {
    readonly entries: number;
    readonly snapshot: boolean;
    readonly openMilliseconds: number;
}

/** Time from the end of a leader until another one has committed a command. */
interface LeaderlessFigures {
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
        const group = { folder, addresses: await LocalLogMember.freeAddresses(size), snapshotInterval };
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

async function measureCommits(size: number, concurrency: number): Promise<CommitFigures> {
    return withGroup(size, 10_000, async ({ members }) => {
        const leader = await LocalLogMember.leaderOf(members);
        const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
        const command = "x".repeat(commandBytes);
        const start = performance.now();
        const proposeOneByOne = async (): Promise<void> => {
            while (performance.now() - start < commitDuration) {
                const proposedAt = performance.now();
                (await leader.log.propose(command)).unwrap();
                histogram.recordValue(Math.round((performance.now() - proposedAt) * 1000));
            }
        };
        await Promise.all(Array.from({ length: concurrency }, proposeOneByOne));
        const seconds = (performance.now() - start) / 1000;
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

async function measureRecovery(entries: number, snapshot: boolean): Promise<RecoveryFigures> {
    return withGroup(1, snapshot ? Math.floor(entries / 2) - 1 : noSnapshots, async ({ group, members }) => {
        const leader = await LocalLogMember.leaderOf(members);
        const command = "x".repeat(commandBytes);
        for (let written = 0; written < entries; written += 1000) {
            await Promise.all(Array.from({ length: 1000 }, async () => leader.log.propose(command)));
        }
        const { lastPosition } = leader.log.status();
        await stopAll(members);
        const start = performance.now();
        const again = await startMember(group, 0);
        const openMilliseconds = rounded(performance.now() - start);
        await again.log.waitForPosition(lastPosition);
        await again.stop();
        return { entries, snapshot, openMilliseconds };
    });
}

async function measureLeaderless(size: number, end: LeaderlessFigures["end"]): Promise<LeaderlessFigures> {
    const milliseconds: number[] = [];
    for (let round = 0; round < leaderlessRounds; round += 1) {
        milliseconds.push(
            await withGroup(size, 10_000, async ({ members }) => {
                const leader = await LocalLogMember.leaderOf(members);
                (await leader.log.propose("before")).unwrap();
                const rest = members.filter(member => member !== leader);
                const start = performance.now();
                const ended = end === "vanished" ? leader.vanish() : leader.stop();
                const successor = await LocalLogMember.leaderOf(rest);
                (await successor.log.propose("after")).unwrap();
                const span = rounded(performance.now() - start);
                await ended;
                await stopAll(end === "vanished" ? members : rest);
                return span;
            }),
        );
    }
    return { members: size, end, milliseconds: milliseconds.sort((a, b) => a - b) };
}

function rounded(milliseconds: number): number {
    return Math.round(milliseconds * 10) / 10;
}

async function measureAll(): Promise<void> {
    const commits: CommitFigures[] = [];
    const leaderless: LeaderlessFigures[] = [];
    for (const size of [3, 5]) {
        for (const concurrency of concurrencies) {
            commits.push(await measureCommits(size, concurrency));
        }
        leaderless.push(await measureLeaderless(size, "vanished"), await measureLeaderless(size, "stopped"));
    }
    const recovery: RecoveryFigures[] = [];
    for (const entries of logLengths) {
        recovery.push(await measureRecovery(entries, false), await measureRecovery(entries, true));
    }
    const machine = `${cpus().length} processors, Node.js ${process.version}`;
    console.log(JSON.stringify({ machine, commandBytes, commits, leaderless, recovery }, undefined, 2));
}

await measureAll();

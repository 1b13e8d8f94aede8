import { build } from "hdr-histogram-js";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { StateMachine } from "../../process/replicatedLog/commandLog.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { LocalLogMember } from "../localLogMember.js";
import type { LinearFit } from "./linearFit.js";
import { fitMeasurements } from "./linearFit.js";

/** Size of each command in bytes, about that of a key change. */
const commandBytes = 200;

const memberCounts = [3, 5];
const concurrencyLevels = [1, 16, 256];
const logLengths = [1000, 10_000, 50_000];
const commitDuration: Milliseconds = 2000;
const microsecondsPerMillisecond = 1000;

/** A snapshot interval in log entries that no measured log reaches, so that no snapshots are taken. */
const unreachedSnapshotInterval = 1_000_000_000;

class CountingStateMachine extends StateMachine<string, number> {
    private count = 0;

    override apply(): number {
        this.count += 1;
        return this.count;
    }

    override snapshot(): Uint8Array {
        return Buffer.from(String(this.count));
    }

    override restore(snapshot: Uint8Array): void {
        this.count = Number(Buffer.from(snapshot).toString());
    }
}

type Member = LocalLogMember<CountingStateMachine>;

/** Commit rate and latency with synced writes; all members run in one process and use one disk. */
export interface CommitCost {
    readonly members: number;
    /** Number of concurrent proposals. */
    readonly concurrency: number;
    readonly commitsPerSecond: number;
    readonly p50: Milliseconds;
    readonly p99: Milliseconds;
}

/** Time from starting a member until it has applied its whole log again. */
export interface RecoveryCost {
    readonly entries: number;
    readonly time: Milliseconds;
}

/** Performance of the replicated log. */
export interface LogSlopes {
    readonly commits: readonly CommitCost[];
    readonly recovery: readonly RecoveryCost[];
    /** Recovery time in milliseconds by number of log entries after the last snapshot. */
    readonly recoveryTime: LinearFit;
}

/** Measures commits and recovery of the replicated log, with real files and sockets on the loopback interface. */
export async function measureLogSlopes(clock: Clock): Promise<LogSlopes> {
    const commits: CommitCost[] = [];
    for (const members of memberCounts) {
        for (const concurrency of concurrencyLevels) {
            commits.push(await measureCommits(members, concurrency, clock));
        }
    }
    const recovery: RecoveryCost[] = [];
    for (const entries of logLengths) {
        recovery.push(await measureRecovery(entries, clock));
    }
    return { commits, recovery, recoveryTime: fitMeasurements(recovery, cost => cost.entries, cost => cost.time) };
}

async function measureCommits(members: number, concurrency: number, clock: Clock): Promise<CommitCost> {
    return withTemporaryFolder(async folder => {
        const group = { folder, addresses: await LocalLogMember.findFreeAddresses(members), snapshotInterval: 10_000 };
        const startedMembers = await Promise.all(
            [...group.addresses.keys()].map(index => LocalLogMember.start(group, index, new CountingStateMachine())),
        );
        const leader = await LocalLogMember.waitForLeader(startedMembers);
        const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
        const startedAt = clock.now();
        const proposeRepeatedly = async (): Promise<void> => {
            while (clock.now() - startedAt < commitDuration) {
                const proposedAt = clock.now();
                (await leader.log.propose("x".repeat(commandBytes))).unwrap();
                histogram.recordValue(Math.round((clock.now() - proposedAt) * microsecondsPerMillisecond));
            }
        };
        await Promise.all(Array.from({ length: concurrency }, proposeRepeatedly));
        const seconds = (clock.now() - startedAt) / 1000;
        await Promise.all(startedMembers.map(member => member.stop()));
        return {
            members,
            concurrency,
            commitsPerSecond: histogram.totalCount / seconds,
            p50: histogram.getValueAtPercentile(50) / microsecondsPerMillisecond,
            p99: histogram.getValueAtPercentile(99) / microsecondsPerMillisecond,
        };
    });
}

async function measureRecovery(entries: number, clock: Clock): Promise<RecoveryCost> {
    return withTemporaryFolder(async folder => {
        const addresses = await LocalLogMember.findFreeAddresses(1);
        const group = { folder, addresses, snapshotInterval: unreachedSnapshotInterval };
        const original = await LocalLogMember.start(group, 0, new CountingStateMachine());
        await appendEntries(await LocalLogMember.waitForLeader([original]), entries);
        const { lastPosition } = original.log.status();
        await original.stop();
        const restartedAt = clock.now();
        const restarted = await LocalLogMember.start(group, 0, new CountingStateMachine());
        await restarted.log.waitForPosition(lastPosition);
        const time = clock.now() - restartedAt;
        await restarted.stop();
        return { entries, time };
    });
}

async function appendEntries(leader: Member, entries: number): Promise<void> {
    const batchSize = 1000;
    for (let written = 0; written < entries; written += batchSize) {
        await Promise.all(Array.from({ length: batchSize }, () => leader.log.propose("x".repeat(commandBytes))));
    }
}

async function withTemporaryFolder<T>(action: (folder: string) => Promise<T>): Promise<T> {
    const folder = await mkdtemp(join(tmpdir(), "gullhall-slopes-"));
    try {
        return await action(folder);
    }
    finally {
        await rm(folder, { recursive: true });
    }
}

import { EventLog } from "../../../src/logEvent/eventLog.js";
import { defaultLogTiming } from "../../../src/process/replicatedLog/logTiming.js";
import type { ToleratedLosses } from "../../../src/process/replicatedLog/memberAdmission.js";
import { loadIdentity } from "../../../src/process/replicatedLog/memberIdentity.js";
import { decodeValue, scanRecords } from "../../../src/process/replicatedLog/recordCodec.js";
import { ReplicatedLog } from "../../../src/process/replicatedLog/replicatedLog.js";
import { formatFailure } from "../../../src/resultCode/resultCode.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { CommandRecorder } from "./commandRecorder.js";
import { DiskLatency, MemoryDisk, MemoryLogStorage } from "./memoryLogStorage.js";
import { VirtualLinks, VirtualNetwork } from "./virtualNetwork.js";
import { VirtualClock, VirtualProcess, VirtualTime } from "./virtualTime.js";

/** A running member, and what the checks have observed of it. */
interface VirtualMember {
    readonly process: VirtualProcess;
    readonly clock: VirtualClock;
    readonly recorder: CommandRecorder;
    log: ReplicatedLog<string, number> | undefined;
    checkedCommands: number;
    commitPosition: number;
}

/** A call to the platform under the lease; its end is in virtual time, which has no clock drift. */
interface PlatformCall {
    readonly member: VirtualMember | undefined;
    readonly fencingNumber: number;
    readonly endsAt: number;
}

/** Settings of a cluster whose members join and leave without an operator's action. */
export interface OpenGroupOptions {
    /** Slots that the settings name; read whenever a member starts. */
    listedSlots: readonly number[];
    readonly toleratedLosses: ToleratedLosses;
}

/** Maximum time until all members see the removal of a member. */
const removalMilliseconds = 1000;

const events = new EventLog("test", "hidden");

/**
 * Operations take up to 2 ms, or with a probability of 2% up to 200 ms, and never complete once their process is
 * killed.
 */
class VirtualDiskLatency extends DiskLatency {
    constructor(
        private readonly time: VirtualTime,
        private readonly process: VirtualProcess,
        private readonly disk: MemoryDisk,
        private readonly random: RandomSource,
    ) {
        super();
    }

    override async run(begin: () => void, complete: () => void): Promise<void> {
        if (this.process.alive) {
            begin();
        }
        const maximumLatencyMilliseconds = this.random.float() < 0.02 ? 200 : 2;
        await new Promise<void>(resolve => {
            const latencyMilliseconds = this.disk.minimumLatency + this.random.float() * maximumLatencyMilliseconds;
            this.time.schedule(latencyMilliseconds, () => {
                if (this.process.alive && !this.disk.stalled) {
                    complete();
                    this.process.run(resolve);
                }
            });
        });
    }
}

/**
 * Members on virtual time, disks and network links; checks the safety properties of the log after each step.
 *
 * A slot is the index of an address and its disk. A member that starts in it after its disk was erased gets a new
 * identity.
 */
export class VirtualCluster {
    readonly time = new VirtualTime();
    readonly links: VirtualLinks;
    readonly disks: readonly MemoryDisk[];
    readonly members: (VirtualMember | undefined)[];
    /** Violations of safety properties that were found. */
    readonly violations: string[] = [];
    /** The highest position whose commit was reported to a proposer. */
    acknowledgedPosition = 0;

    private readonly committed = new Map<number, string>();
    private lastCall: PlatformCall = { member: undefined, fencingNumber: 0, endsAt: 0 };
    private readonly addresses: readonly string[];
    private readonly random: RandomSource;
    private proposalCount = 0;
    private removalAt = -Infinity;
    private identityCount = 0;

    /** @param openGroup Undefined if all slots are listed and only operators remove members. */
    constructor(size: number, seed: number, readonly openGroup?: OpenGroupOptions) {
        this.random = new RandomSource(seed);
        this.links = new VirtualLinks(this.time, this.random);
        this.disks = Array.from({ length: size }, () => new MemoryDisk());
        this.members = this.disks.map(() => undefined);
        this.addresses = [...this.disks.keys()].map(slot => `member-${slot}`);
    }

    /** Starts the member of a slot on its disk, unless it is running. */
    start(slot: number): void {
        const disk = this.disks[slot];
        if (this.members[slot] !== undefined || disk === undefined) {
            return;
        }
        const process = new VirtualProcess(this.time);
        // Just under half of the ratio, so that no clock runs faster than another one by more than the ratio.
        const maximumRateError = defaultLogTiming.maximumClockDriftRatio * 0.49;
        const clock = new VirtualClock(this.time, process, 1 + (2 * this.random.float() - 1) * maximumRateError);
        const recorder = new CommandRecorder();
        const member: VirtualMember = {
            process,
            clock,
            recorder,
            log: undefined,
            checkedCommands: 0,
            commitPosition: 0,
        };
        this.members[slot] = member;
        void this.openLog(
            slot,
            member,
            new MemoryLogStorage(disk, new VirtualDiskLatency(this.time, process, disk, this.random)),
        );
    }

    /** Kills a member; what it has not synced is lost or partially written. */
    crash(slot: number): void {
        const member = this.members[slot];
        if (member !== undefined) {
            member.process.alive = false;
            this.disks[slot]?.crash(this.random);
            this.links.hosts.delete(this.addresses[slot] ?? "");
            this.members[slot] = undefined;
        }
    }

    /** Kills a member and erases its disk. */
    eraseDisk(slot: number): void {
        this.crash(slot);
        this.disks[slot]?.files.clear();
    }

    /** Stops a member gracefully. */
    stop(slot: number): void {
        const member = this.members[slot];
        void member?.log?.close().then(() => {
            if (this.members[slot] === member) {
                this.crash(slot);
            }
        });
    }

    /** Removes a member from the group, and erases its disk once the removal is committed. */
    removeMember(slot: number): void {
        const memberId = this.members[slot]?.log?.status().memberId;
        const leader = this.members[this.leaderSlot ?? -1]?.log;
        if (memberId !== undefined && leader !== undefined) {
            this.removalAt = this.time.now;
            void leader.changeMembership({ kind: "remove", memberId }).then(changed => {
                if (changed.ok) {
                    this.eraseDisk(slot);
                }
            });
        }
    }

    /** Erases the disks of removed members that have entries, as an operator would. */
    eraseRemovedMembers(): void {
        const leader = this.members[this.leaderSlot ?? -1]?.log?.status();
        for (const [slot, member] of this.members.entries()) {
            const status = member?.log?.status();
            const kept = leader?.membership.members.some(({ memberId }) => memberId === status?.memberId) ?? true;
            if (!kept && status !== undefined && status.lastPosition > 0) {
                this.eraseDisk(slot);
            }
        }
    }

    /** Resumes all suspended members. */
    resumeAll(): void {
        for (const member of this.members) {
            member?.process.resume();
        }
        this.checkAll();
        for (const slot of this.members.keys()) {
            this.confirm(slot);
        }
    }

    /** Kills all members. */
    crashAll(): void {
        for (const slot of this.members.keys()) {
            this.crash(slot);
        }
    }

    /** Sets whether a disk is full. */
    setFull(slot: number, full: boolean): void {
        const disk = this.disks[slot];
        if (disk !== undefined) {
            disk.full = full;
        }
    }

    /** Sets the minimum duration of an operation of a disk. */
    setMinimumLatency(slot: number, milliseconds: number): void {
        const disk = this.disks[slot];
        if (disk !== undefined) {
            disk.minimumLatency = milliseconds;
        }
    }

    /** Sets whether a disk is stalled; operations that are running then never complete. */
    setStalled(slot: number, stalled: boolean): void {
        const disk = this.disks[slot];
        if (disk !== undefined) {
            disk.stalled = stalled;
        }
    }

    /** Sets a member's wall clock up to a day off in either direction. */
    jumpWallClock(slot: number): void {
        const clock = this.members[slot]?.clock;
        if (clock !== undefined) {
            clock.wallClockOffset = (2 * this.random.float() - 1) * 86_400_000;
        }
    }

    /** Blocks or unblocks the network link from one member to another. */
    setBlocked(from: number, to: number, blocked: boolean): void {
        const direction = `${this.addresses[from] ?? ""}>${this.addresses[to] ?? ""}`;
        if (blocked) {
            this.links.blockedDirections.add(direction);
        }
        else {
            this.links.blockedDirections.delete(direction);
        }
    }

    /** Slot of the running member that leads the highest term. */
    get leaderSlot(): number | undefined {
        const leaders = [...this.members.entries()].filter(([, member]) => member?.log?.status().role === "leader");
        const termOf = (slot: number): number => this.members[slot]?.log?.status().term ?? 0;
        return leaders.map(([slot]) => slot).sort((a, b) => termOf(b) - termOf(a))[0];
    }

    /**
     * Whether the members of all slots are voters with their current disks and agree on the membership, so that one
     * disk may be erased safely.
     */
    get isFullyReplicated(): boolean {
        const status = this.members[this.leaderSlot ?? -1]?.log?.status();
        const voters = status?.membership.members.filter(member => member.role === "voter") ?? [];
        const removing = this.time.now - this.removalAt < removalMilliseconds;
        const settled = !removing && status?.commitPosition === status?.lastPosition
            && voters.length === this.disks.length;
        const statuses = this.members.map(member => member?.log?.status());
        return settled && voters.every(({ memberId }) => statuses.some(other => other?.memberId === memberId))
            && statuses.every(other => JSON.stringify(other?.membership) === JSON.stringify(status?.membership));
    }

    /** Whether all members are running voters that have applied the same commands. */
    get hasConverged(): boolean {
        const first = JSON.stringify(this.commandsOf(0));
        return this.isFullyReplicated
            && [...this.members.keys()].every(slot => JSON.stringify(this.commandsOf(slot)) === first);
    }

    /** Proposes a command at a member; `onCommitted` is called once it is committed. */
    propose(slot: number, onCommitted: () => void = () => undefined): void {
        this.proposalCount += 1;
        const command = `command-${this.proposalCount}`;
        void this.members[slot]?.log?.propose(command).then(outcome => {
            if (outcome.ok) {
                const { position } = outcome.val;
                this.checkAll();
                this.check(this.committed.get(position) === command, `acknowledged ${command} is not at ${position}`);
                this.acknowledgedPosition = Math.max(this.acknowledgedPosition, position);
                onCommitted();
            }
        });
    }

    /** Confirms a position at a member, and checks that it covers everything acknowledged before. */
    confirm(slot: number): void {
        const before = this.acknowledgedPosition;
        void this.members[slot]?.log?.confirmPosition().then(confirmed => {
            this.check(confirmed.err || confirmed.val >= before, `confirmed less than the acknowledged ${before}`);
        });
    }

    /** Advances virtual time by a duration, with checks after each action. */
    async run(durationMilliseconds: number): Promise<void> {
        await this.time.run(durationMilliseconds, () => {
            this.checkAll();
        });
    }

    /** The commands that a member has applied. */
    commandsOf(slot: number): readonly string[] {
        return this.members[slot]?.recorder.commands ?? [];
    }

    private async openLog(slot: number, member: VirtualMember, storage: MemoryLogStorage): Promise<void> {
        const address = this.addresses[slot] ?? "";
        this.identityCount += 1;
        const memberId = `identity-${this.identityCount}`;
        const identity = await loadIdentity(storage, "test", () => memberId);
        const opened = identity.err ? identity : await ReplicatedLog.open({
            group: "main",
            storage,
            identity: identity.val,
            network: new VirtualNetwork(this.links, address, member.process, this.checkVote.bind(this)),
            stateMachine: member.recorder,
            address,
            operatorAddress: "",
            expectedAddresses: this.openGroup?.listedSlots.map(listed => this.addresses[listed] ?? "")
                ?? this.addresses,
            admitsUnlisted: this.openGroup !== undefined,
            toleratedLosses: this.openGroup?.toleratedLosses,
            timing: defaultLogTiming,
            clock: member.clock,
            random: new RandomSource(this.random.integer(0, 1_000_000)),
            events,
            snapshotInterval: 5,
            retainedEntries: 1,
        });
        if (opened.err && opened.val.code === "storageFull") {
            this.crash(slot);
            return;
        }
        if (opened.err) {
            this.violations.push(`member ${slot} failed to open its log: ${formatFailure(opened.val)}`);
            return;
        }
        member.log = opened.val;
    }

    private checkAll(): void {
        for (const [slot, member] of this.members.entries()) {
            if (member?.log !== undefined && member.process.running) {
                this.checkMember(slot, member, member.log);
            }
        }
    }

    private checkMember(slot: number, member: VirtualMember, log: ReplicatedLog<string, number>): void {
        const { halted, commitPosition } = log.status();
        this.check(halted === undefined, `member ${slot} halted: ${halted?.code ?? ""}`);
        this.check(commitPosition >= member.commitPosition, `member ${slot}: commit position decreased`);
        member.commitPosition = commitPosition;
        this.checkCommands(slot, member);
        this.checkLease(slot, member, log);
    }

    private checkCommands(slot: number, member: VirtualMember): void {
        const { applied } = member.recorder;
        for (const { position, command } of applied.slice(member.checkedCommands)) {
            const known = this.committed.get(position) ?? command;
            this.check(known === command, `member ${slot} has ${command} at ${position}, others have ${known}`);
            this.committed.set(position, known);
        }
        member.checkedCommands = applied.length;
    }

    private checkLease(slot: number, member: VirtualMember, log: ReplicatedLog<string, number>): void {
        const callDuration = this.random.float() * defaultLogTiming.maximumCallDuration;
        const token = log.lease(member.clock.now(), callDuration);
        if (token === undefined) {
            return;
        }
        const { fencingNumber } = token;
        const { now } = this.time;
        const isSameMember = this.lastCall.member === member;
        this.check(
            isSameMember || this.lastCall.endsAt <= now,
            `member ${slot} may call the platform while a call of another member runs`,
        );
        this.check(fencingNumber >= this.lastCall.fencingNumber, "the fencing number decreased");
        const endsAt = Math.max(now + callDuration / member.clock.rate, isSameMember ? this.lastCall.endsAt : 0);
        this.lastCall = { member, fencingNumber, endsAt };
    }

    /** Checks that a vote is durable before it is sent to another member. */
    private checkVote(address: string, term: number, candidate: string): void {
        const disk = this.disks[this.addresses.indexOf(address)];
        const [body] = scanRecords(disk?.files.get("main.vote") ?? Buffer.alloc(0)).bodies;
        const stored = body === undefined ? undefined : decodeValue(body) as { term: number; votedFor?: string; };
        const durable = stored !== undefined && (stored.term > term || stored.votedFor === candidate);
        this.check(durable, `${address} voted for ${candidate} in term ${term} before that was durable`);
    }

    private check(condition: boolean, violation: string): void {
        if (!condition) {
            this.violations.push(`${violation} (at ${Math.round(this.time.now)} ms)`);
        }
    }
}

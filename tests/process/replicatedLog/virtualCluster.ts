import { EventLog } from "../../../src/logEvent/eventLog.js";
import { defaultLogTiming } from "../../../src/process/replicatedLog/logTiming.js";
import { loadIdentity } from "../../../src/process/replicatedLog/memberIdentity.js";
import { decodeValue, scanRecords } from "../../../src/process/replicatedLog/recordCodec.js";
import { ReplicatedLog } from "../../../src/process/replicatedLog/replicatedLog.js";
import { describeFailure } from "../../../src/resultCode/resultCode.js";
import { RandomSource } from "../../../src/util/randomSource.js";
import { CommandRecorder } from "./commandRecorder.js";
import { DiskPace, MemoryDisk, MemoryLogStorage } from "./memoryLogStorage.js";
import { VirtualNetwork, VirtualWires } from "./virtualNetwork.js";
import { VirtualClock, VirtualProcess, VirtualTime } from "./virtualTime.js";

/** A running member and what was seen of it. */
interface VirtualMember {
    readonly process: VirtualProcess;
    readonly clock: VirtualClock;
    readonly recorder: CommandRecorder;
    log: ReplicatedLog<string, number> | undefined;
    checkedCommands: number;
    commitPosition: number;
}

/** An act towards the platform, in true time. */
interface Act {
    readonly member: VirtualMember | undefined;
    readonly fencingNumber: number;
    readonly endsAt: number;
}

/** How long a removal may stay unseen by the members, in milliseconds. */
const removalTime = 1000;

const events = new EventLog("test", "hidden");

/** Operations that take up to 2 ms, or now and then up to 200 ms, and end with their process. */
class VirtualPace extends DiskPace {
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
        const longest = this.random.float() < 0.02 ? 200 : 2;
        await new Promise<void>(resolve => {
            this.time.schedule(this.random.float() * longest, () => {
                if (this.process.alive && !this.disk.stalled) {
                    complete();
                    this.process.run(resolve);
                }
            });
        });
    }
}

/** Members over virtual time, disks and wires, with a record of all that must never be contradicted. */
export class VirtualCluster {
    readonly time = new VirtualTime();
    readonly wires: VirtualWires;
    readonly disks: readonly MemoryDisk[];
    readonly members: (VirtualMember | undefined)[];
    /** Contradictions that were seen. */
    readonly violations: string[] = [];
    /** The highest position that a proposer was told to be committed. */
    acknowledgedPosition = 0;

    private readonly committed = new Map<number, string>();
    private lastAct: Act = { member: undefined, fencingNumber: 0, endsAt: 0 };
    private readonly addresses: readonly string[];
    private readonly random: RandomSource;
    private proposals = 0;
    private removalAt = -Infinity;
    private identities = 0;

    constructor(size: number, seed: number) {
        this.random = new RandomSource(seed);
        this.wires = new VirtualWires(this.time, this.random);
        this.disks = Array.from({ length: size }, () => new MemoryDisk());
        this.members = this.disks.map(() => undefined);
        this.addresses = [...this.disks.keys()].map(slot => `member-${slot}`);
    }

    /** Starts the member of a slot on its disk, unless it runs. */
    start(slot: number): void {
        const disk = this.disks[slot];
        if (this.members[slot] !== undefined || disk === undefined) {
            return;
        }
        const process = new VirtualProcess(this.time);
        const drift = defaultLogTiming.driftBound * 0.49;
        const clock = new VirtualClock(this.time, process, 1 + (2 * this.random.float() - 1) * drift);
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
        void this.open(
            slot,
            member,
            new MemoryLogStorage(disk, new VirtualPace(this.time, process, disk, this.random)),
        );
    }

    /** Kills a member; what it did not sync is lost, or torn. */
    crash(slot: number): void {
        const member = this.members[slot];
        if (member !== undefined) {
            member.process.alive = false;
            this.disks[slot]?.crash(this.random);
            this.wires.hosts.delete(this.addresses[slot] ?? "");
            this.members[slot] = undefined;
        }
    }

    /** Kills a member and empties its disk. */
    loseDisk(slot: number): void {
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

    /** Removes a member from the group and empties its disk once that is committed. */
    removeMember(slot: number): void {
        const memberId = this.members[slot]?.log?.status().memberId;
        const leader = this.members[this.leaderSlot ?? -1]?.log;
        if (memberId !== undefined && leader !== undefined) {
            this.removalAt = this.time.now;
            void leader.changeMembership({ kind: "remove", memberId }).then(changed => {
                if (changed.ok) {
                    this.loseDisk(slot);
                }
            });
        }
    }

    /** Empties the disks of members that have entries but were removed, as their operator does. */
    replaceRemoved(): void {
        const leader = this.members[this.leaderSlot ?? -1]?.log?.status();
        for (const [slot, member] of this.members.entries()) {
            const status = member?.log?.status();
            const kept = leader?.membership.members.some(({ memberId }) => memberId === status?.memberId) ?? true;
            if (!kept && status !== undefined && status.lastPosition > 0) {
                this.loseDisk(slot);
            }
        }
    }

    /** Continues all members that were stopped. */
    continueAll(): void {
        for (const member of this.members) {
            member?.process.continue();
        }
        this.checkAll();
        for (const slot of this.members.keys()) {
            this.confirm(slot);
        }
    }

    /** Kills all members. */
    killAll(): void {
        for (const slot of this.members.keys()) {
            this.crash(slot);
        }
    }

    /** Fills or frees a disk. */
    setFull(slot: number, full: boolean): void {
        const disk = this.disks[slot];
        if (disk !== undefined) {
            disk.full = full;
        }
    }

    /** Stalls a disk: what is under way never ends. */
    setStalled(slot: number, stalled: boolean): void {
        const disk = this.disks[slot];
        if (disk !== undefined) {
            disk.stalled = stalled;
        }
    }

    /** Moves a member's wall clock by up to a day either way. */
    jumpWallClock(slot: number): void {
        const clock = this.members[slot]?.clock;
        if (clock !== undefined) {
            clock.wallOffset = (2 * this.random.float() - 1) * 86_400_000;
        }
    }

    /** Cuts or mends the wire from one member to another. */
    setCut(from: number, to: number, cut: boolean): void {
        const direction = `${this.addresses[from] ?? ""}>${this.addresses[to] ?? ""}`;
        if (cut) {
            this.wires.cut.add(direction);
        }
        else {
            this.wires.cut.delete(direction);
        }
    }

    /** Slot of the running member that leads the newest term. */
    get leaderSlot(): number | undefined {
        const leaders = [...this.members.entries()].filter(([, member]) => member?.log?.status().role === "leader");
        const termOf = (slot: number): number => this.members[slot]?.log?.status().term ?? 0;
        return leaders.map(([slot]) => slot).sort((a, b) => termOf(b) - termOf(a))[0];
    }

    /** Whether every slot is a voter with its present disk, so that one disk may be lost without harm. */
    get whole(): boolean {
        const status = this.members[this.leaderSlot ?? -1]?.log?.status();
        const voters = status?.membership.members.filter(member => member.role === "voter") ?? [];
        const removing = this.time.now - this.removalAt < removalTime;
        const settled = !removing && status?.commitPosition === status?.lastPosition
            && voters.length === this.disks.length;
        const present = this.members.map(member => member?.log?.status());
        return settled && voters.every(({ memberId }) => present.some(other => other?.memberId === memberId))
            && present.every(other => JSON.stringify(other?.membership) === JSON.stringify(status?.membership));
    }

    /** Whether all members run, vote and have applied the same commands. */
    get agrees(): boolean {
        const first = JSON.stringify(this.commandsOf(0));
        return this.whole && [...this.members.keys()].every(slot => JSON.stringify(this.commandsOf(slot)) === first);
    }

    /** Proposes a command at a member; `onCommitted` hears when it was committed. */
    propose(slot: number, onCommitted: () => void = () => undefined): void {
        this.proposals += 1;
        const command = `command-${this.proposals}`;
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

    /** Confirms a position at a member, which must cover all that was acknowledged before. */
    confirm(slot: number): void {
        const before = this.acknowledgedPosition;
        void this.members[slot]?.log?.confirmPosition().then(confirmed => {
            this.check(confirmed.err || confirmed.val >= before, `confirmed less than the acknowledged ${before}`);
        });
    }

    /** Lets time pass, and checks after each step. */
    async run(span: number): Promise<void> {
        await this.time.run(span, () => {
            this.checkAll();
        });
    }

    /** The commands that a member has applied. */
    commandsOf(slot: number): readonly string[] {
        return this.members[slot]?.recorder.commands ?? [];
    }

    private async open(slot: number, member: VirtualMember, storage: MemoryLogStorage): Promise<void> {
        const address = this.addresses[slot] ?? "";
        this.identities += 1;
        const memberId = `identity-${this.identities}`;
        const identity = await loadIdentity(storage, "test", () => memberId);
        const opened = identity.err ? identity : await ReplicatedLog.open({
            group: "main",
            storage,
            identity: identity.val,
            network: new VirtualNetwork(this.wires, address, member.process, this.checkVote.bind(this)),
            stateMachine: member.recorder,
            address,
            operatorAddress: "",
            expectedAddresses: this.addresses,
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
            this.violations.push(`member ${slot} does not open: ${describeFailure(opened.val)}`);
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
        this.check(commitPosition >= member.commitPosition, `member ${slot}: commit position fell`);
        member.commitPosition = commitPosition;
        this.checkCommands(slot, member);
        this.checkAct(slot, member, log);
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

    private checkAct(slot: number, member: VirtualMember, log: ReplicatedLog<string, number>): void {
        const room = this.random.float() * defaultLogTiming.longestCall;
        const token = log.lease(member.clock.now(), room);
        if (token === undefined) {
            return;
        }
        const { fencingNumber } = token;
        const { now } = this.time;
        const same = this.lastAct.member === member;
        this.check(same || this.lastAct.endsAt <= now, `member ${slot} acts while another one does`);
        this.check(fencingNumber >= this.lastAct.fencingNumber, "the fencing number fell");
        const endsAt = Math.max(now + room / member.clock.rate, same ? this.lastAct.endsAt : 0);
        this.lastAct = { member, fencingNumber, endsAt };
    }

    /** Checks that a vote is durable before another member hears of it. */
    private checkVote(address: string, term: number, candidate: string): void {
        const disk = this.disks[this.addresses.indexOf(address)];
        const [body] = scanRecords(disk?.files.get("main.vote") ?? Buffer.alloc(0)).bodies;
        const stored = body === undefined ? undefined : decodeValue(body) as { term: number; votedFor?: string; };
        const durable = stored !== undefined && (stored.term > term || stored.votedFor === candidate);
        this.check(durable, `${address} voted for ${candidate} in term ${term} before that was durable`);
    }

    private check(holds: boolean, violation: string): void {
        if (!holds) {
            this.violations.push(`${violation} (at ${Math.round(this.time.now)} ms)`);
        }
    }
}

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { LocalLogMember } from "../../../src/experiment/localLogMember.js";
import type { LocalGroup } from "../../../src/experiment/localLogMember.js";
import { SystemClock } from "../../../src/util/clock.js";
import { describe, it } from "../../describe.js";
import { CommandRecorder } from "./commandRecorder.js";

/** Length of each numbered command in characters, such that a snapshot needs several chunks. */
const commandLength = 10_000;

type Member = LocalLogMember<CommandRecorder>;

/** Runs a test with a group of three members, and removes its files afterwards. */
async function withGroup(action: (group: LocalGroup) => Promise<void>): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "gullhall-log-"));
    try {
        await action({ folder, addresses: await LocalLogMember.findFreeAddresses(3), snapshotInterval: 50 });
    }
    finally {
        await rm(folder, { recursive: true });
    }
}

async function startAll(group: LocalGroup): Promise<Member[]> {
    const indexes = [...group.addresses.keys()];
    return Promise.all(indexes.map(async index => LocalLogMember.start(group, index, new CommandRecorder())));
}

async function proposeAll(leader: Member, commands: readonly string[]): Promise<void> {
    for (const outcome of await Promise.all(commands.map(async command => leader.log.propose(command)))) {
        outcome.unwrap();
    }
}

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new SystemClock().sleep(10);
    }
}

function numberedCommands(prefix: string, count: number): readonly string[] {
    return [...Array(count).keys()].map(index => `${prefix}${index}`.padEnd(commandLength, "."));
}

describe("ReplicatedLog", () => {
    describe("over sockets and files", () => {
        it("commits on all members, and keeps all commands across a restart of every member", async t => {
            await withGroup(async group => {
                const first = await startAll(group);
                await proposeAll(await LocalLogMember.waitForLeader(first), numberedCommands("a", 120));
                await Promise.all(first.map(async member => member.stop()));
                const second = await startAll(group);
                const leader = await LocalLogMember.waitForLeader(second);
                await proposeAll(leader, ["last"]);
                const expected = [...numberedCommands("a", 120), "last"];
                await waitUntil(() => second.every(member => member.machine.commands.length === expected.length));
                for (const member of second) {
                    t.deepEqual(member.machine.commands, expected);
                }
                await Promise.all(second.map(async member => member.stop()));
            });
        });

        it("replaces a member that lost its disk, and tolerates the immediate loss of a second member", async t => {
            await withGroup(async group => {
                const members = await startAll(group);
                const leader = await LocalLogMember.waitForLeader(members);
                await proposeAll(leader, numberedCommands("a", 120));
                const lost = members.findIndex(member => member !== leader);
                const lostId = members[lost]?.log.status().memberId;
                await members[lost]?.stop();
                await rm(join(group.folder, String(lost)), { recursive: true });
                const repaired = await LocalLogMember.start(group, lost, new CommandRecorder());
                const { memberId } = repaired.log.status();
                t.not(memberId, lostId);
                await waitUntil(() =>
                    repaired.log.status().membership.members.some(member =>
                        member.memberId === memberId && member.role === "voter"
                    )
                );
                await leader.stop();
                const rest = [repaired, ...members.filter((member, index) => member !== leader && index !== lost)];
                await proposeAll(await LocalLogMember.waitForLeader(rest), ["last"]);
                const expected = [...numberedCommands("a", 120), "last"];
                await waitUntil(() => repaired.machine.commands.length === expected.length);
                t.deepEqual(repaired.machine.commands, expected);
                await Promise.all(rest.map(async member => member.stop()));
            });
        });

        it("confirms on a follower a position that covers all earlier commits", async t => {
            await withGroup(async group => {
                const members = await startAll(group);
                const leader = await LocalLogMember.waitForLeader(members);
                const committed = (await leader.log.propose("a")).unwrap();
                const follower = members.find(member => member !== leader) ?? leader;
                await waitUntil(() => follower.log.leaderAddress() !== undefined);
                const position = (await follower.log.confirmPosition()).unwrap();
                t.true(position >= committed.position);
                t.true(await follower.log.waitForPosition(position));
                t.is((await follower.log.propose("b")).err, true);
                await Promise.all(members.map(async member => member.stop()));
            });
        });
    });
});

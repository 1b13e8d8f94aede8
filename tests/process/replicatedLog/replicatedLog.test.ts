import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { SystemClock } from "../../../src/util/clock.js";
import { describe, it } from "../../describe.js";
import { freeAddresses, leaderOf, startTcpMember } from "./tcpMember.js";
import type { TcpMember } from "./tcpMember.js";

/** Runs a test with a folder that is removed afterwards. */
async function withFolder(action: (folder: string) => Promise<void>): Promise<void> {
    const folder = await mkdtemp(join(tmpdir(), "gullhall-log-"));
    try {
        await action(folder);
    }
    finally {
        await rm(folder, { recursive: true });
    }
}

async function startAll(folder: string, addresses: readonly string[]): Promise<TcpMember[]> {
    return Promise.all([...addresses.keys()].map(async index => startTcpMember(folder, addresses, index, 50)));
}

async function proposeAll(leader: TcpMember, commands: readonly string[]): Promise<void> {
    for (const outcome of await Promise.all(commands.map(async command => leader.log.propose(command)))) {
        outcome.unwrap();
    }
}

async function until(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new SystemClock().sleep(10);
    }
}

function numbered(prefix: string, count: number): readonly string[] {
    return [...Array(count).keys()].map(index => `${prefix}${index}`);
}

describe("ReplicatedLog", () => {
    describe("over sockets and files", () => {
        it("commits at all members and keeps all over a restart of each", async t => {
            await withFolder(async folder => {
                const addresses = await freeAddresses(3);
                const first = await startAll(folder, addresses);
                await proposeAll(await leaderOf(first), numbered("a", 120));
                await Promise.all(first.map(async member => member.close()));
                const second = await startAll(folder, addresses);
                const leader = await leaderOf(second);
                await proposeAll(leader, ["last"]);
                const expected = [...numbered("a", 120), "last"];
                await until(() => second.every(member => member.recorder.commands.length === expected.length));
                for (const member of second) {
                    t.deepEqual(member.recorder.commands, expected);
                }
                await Promise.all(second.map(async member => member.close()));
            });
        });

        it("replaces a member that lost its disk, and survives the loss of a second one right after", async t => {
            await withFolder(async folder => {
                const addresses = await freeAddresses(3);
                const members = await startAll(folder, addresses);
                const leader = await leaderOf(members);
                await proposeAll(leader, numbered("a", 120));
                const lost = members.findIndex(member => member !== leader);
                const lostId = members[lost]?.log.status().memberId;
                await members[lost]?.close();
                await rm(join(folder, String(lost)), { recursive: true });
                const repaired = await startTcpMember(folder, addresses, lost, 50);
                const { memberId } = repaired.log.status();
                t.not(memberId, lostId);
                await until(() =>
                    repaired.log.status().membership.members.some(member =>
                        member.memberId === memberId && member.role === "voter"
                    )
                );
                await leader.close();
                const rest = [repaired, ...members.filter((member, index) => member !== leader && index !== lost)];
                await proposeAll(await leaderOf(rest), ["last"]);
                const expected = [...numbered("a", 120), "last"];
                await until(() => repaired.recorder.commands.length === expected.length);
                t.deepEqual(repaired.recorder.commands, expected);
                await Promise.all(rest.map(async member => member.close()));
            });
        });

        it("confirms a position at a follower that covers what was committed before", async t => {
            await withFolder(async folder => {
                const members = await startAll(folder, await freeAddresses(3));
                const leader = await leaderOf(members);
                const committed = (await leader.log.propose("a")).unwrap();
                const follower = members.find(member => member !== leader) ?? leader;
                await until(() => follower.log.leaderAddress() !== undefined);
                const position = (await follower.log.confirmPosition()).unwrap();
                t.true(position >= committed.position);
                t.true(await follower.log.waitForPosition(position));
                t.is((await follower.log.propose("b")).err, true);
                await Promise.all(members.map(async member => member.close()));
            });
        });
    });
});

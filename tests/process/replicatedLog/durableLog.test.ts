import fastCheck from "fast-check";
import { DurableLog } from "../../../src/process/replicatedLog/durableLog.js";
import type { GroupFiles } from "../../../src/process/replicatedLog/groupFiles.js";
import type { LogEntry } from "../../../src/process/replicatedLog/logEntry.js";
import { loadIdentity } from "../../../src/process/replicatedLog/memberIdentity.js";
import { VoteRecord } from "../../../src/process/replicatedLog/voteRecord.js";
import type { Failure, ResultCode } from "../../../src/resultCode/resultCode.js";
import type { Result } from "../../../src/util/result.js";
import { describe, it } from "../../describe.js";
import { MemoryLogStorage } from "./memoryLogStorage.js";

const identity = { cluster: "test", memberId: "me" };
const segmentName = "main.log.0000000001";

function filesOn(storage: MemoryLogStorage): GroupFiles {
    return { storage, identity, group: "main" };
}

function entryAt(position: number, term = 1): LogEntry {
    return { kind: "command", position, term, command: Buffer.from(`command-${position}-${term}`) };
}

/** Opens the log, and appends `count` entries, each synced separately. */
async function openAndAppend(storage: MemoryLogStorage, count: number): Promise<DurableLog> {
    const log = (await DurableLog.open(filesOn(storage), true)).unwrap();
    for (let position = 1; position <= count; position += 1) {
        (await log.append([entryAt(position)])).unwrap();
    }
    return log;
}

function codeOf(result: Result<unknown, Failure>): ResultCode | undefined {
    return result.err ? result.val.code : undefined;
}

/** Terms of all entries, by position from 1. */
function termsOf(log: DurableLog): readonly (number | undefined)[] {
    return [...Array(log.lastPosition).keys()].map(index => log.termAt(index + 1));
}

describe("DurableLog", () => {
    describe("open", () => {
        it("recovers all synced entries when the last write is truncated anywhere", async t => {
            await fastCheck.assert(
                fastCheck.asyncProperty(fastCheck.nat(200), async writtenBytes => {
                    const storage = new MemoryLogStorage();
                    await openAndAppend(storage, 5);
                    const validBytes = storage.disk.contentOf(segmentName).length;
                    await openAndAppend(storage, 0).then(async log => log.append([entryAt(6), entryAt(7)]));
                    const complete = storage.disk.contentOf(segmentName);
                    storage.disk.files.set(
                        segmentName,
                        complete.subarray(0, Math.min(validBytes + writtenBytes, complete.length - 1)),
                    );
                    const log = (await DurableLog.open(filesOn(storage), false)).unwrap();
                    t.is(log.lastPosition, 5);
                    (await log.append([entryAt(6, 2)])).unwrap();
                    const reopened = (await DurableLog.open(filesOn(storage), false)).unwrap();
                    t.deepEqual(termsOf(reopened), [1, 1, 1, 1, 1, 2]);
                }),
                { seed: 1, numRuns: 100 },
            );
        });

        it("reports a flipped bit before the last record as damage", async t => {
            const storage = new MemoryLogStorage();
            await openAndAppend(storage, 4);
            const earlierBytes = storage.disk.contentOf(segmentName).length;
            await openAndAppend(storage, 0).then(async log => log.append([entryAt(5)]));
            const complete = storage.disk.contentOf(segmentName);
            await fastCheck.assert(
                fastCheck.asyncProperty(fastCheck.nat(earlierBytes - 1), fastCheck.nat(7), async (offset, bit) => {
                    const flipped = Buffer.from(complete);
                    flipped.writeUInt8(flipped.readUInt8(offset) ^ (1 << bit), offset);
                    storage.disk.files.set(segmentName, flipped);
                    t.is(codeOf(await DurableLog.open(filesOn(storage), false)), "logDamaged");
                }),
                { seed: 2, numRuns: 300 },
            );
        });

        it("keeps the replacement of entries by a later leader across restarts, compaction and a snapshot install", async t => {
            const storage = new MemoryLogStorage();
            const log = await openAndAppend(storage, 6);
            (await log.append([entryAt(4, 2), entryAt(5, 2)])).unwrap();
            t.deepEqual(termsOf(log), [1, 1, 1, 2, 2]);
            const state = Buffer.from("state");
            (await log.compact({ position: 4, term: 2, membership: { members: [] }, state }, 0)).unwrap();
            const reopened = (await DurableLog.open(filesOn(storage), false)).unwrap();
            t.is(reopened.basePosition, 3);
            t.deepEqual([reopened.termAt(3), reopened.termAt(4), reopened.termAt(5)], [1, 2, 2]);
            (await reopened.install({ position: 9, term: 3, membership: { members: [] }, state })).unwrap();
            const last = (await DurableLog.open(filesOn(storage), false)).unwrap();
            t.deepEqual([last.basePosition, last.lastPosition, last.lastTerm], [9, 9, 3]);
        });

        const faults: readonly (readonly [string, (storage: MemoryLogStorage) => void, ResultCode])[] = [
            ["no segments", storage => storage.disk.files.delete(segmentName), "logIncomplete"],
            [
                "a compacted log but no snapshot",
                storage => storage.disk.files.delete("main.snapshot"),
                "logIncomplete",
            ],
            [
                "a missing segment",
                storage => storage.disk.files.set("main.log.0000000009", storage.disk.contentOf("main.log.0000000002")),
                "logIncomplete",
            ],
            [
                "a truncated snapshot",
                storage =>
                    storage.disk.files.set("main.snapshot", storage.disk.contentOf("main.snapshot").subarray(0, 40)),
                "logDamaged",
            ],
            [
                "an empty segment file",
                storage => storage.disk.files.set("main.log.0000000002", Buffer.alloc(0)),
                "logDamaged",
            ],
        ];
        for (const [title, corrupt, code] of faults) {
            it(`refuses to open a folder with ${title}`, async t => {
                const storage = new MemoryLogStorage();
                const log = await openAndAppend(storage, 6);
                if (code === "logDamaged" || title !== "no segments") {
                    (await log.append([entryAt(4, 2)])).unwrap();
                    const state = Buffer.from("state");
                    (await log.compact({ position: 4, term: 2, membership: { members: [] }, state }, 0)).unwrap();
                }
                corrupt(storage);
                t.is(codeOf(await DurableLog.open(filesOn(storage), false)), code);
            });
        }

        it("refuses to open the files of another member", async t => {
            const storage = new MemoryLogStorage();
            await openAndAppend(storage, 2);
            const files = { ...filesOn(storage), identity: { cluster: "test", memberId: "other" } };
            t.is(codeOf(await DurableLog.open(files, false)), "logFolderForeign");
        });
    });

    describe("append", () => {
        it("rolls back to the replaced entries when the disk is full", async t => {
            const storage = new MemoryLogStorage();
            const log = await openAndAppend(storage, 3);
            storage.disk.full = true;
            t.is(codeOf(await log.append([entryAt(2, 2), entryAt(3, 2)])), "storageFull");
            t.deepEqual([termsOf(log), log.durablePosition], [[1, 1, 1], 3]);
            storage.disk.full = false;
            (await log.append([entryAt(4, 2)])).unwrap();
            t.deepEqual(termsOf((await DurableLog.open(filesOn(storage), false)).unwrap()), [1, 1, 1, 2]);
        });
    });
});

describe("VoteRecord", () => {
    it("is read back, and reported as damaged after a bit flip", async t => {
        const storage = new MemoryLogStorage();
        const record = (await VoteRecord.create(filesOn(storage))).unwrap();
        (await record.save(7, "candidate")).unwrap();
        const read = (await VoteRecord.load(filesOn(storage))).unwrap();
        t.deepEqual([read?.term, read?.votedFor], [7, "candidate"]);
        const flipped = storage.disk.contentOf("main.vote");
        flipped.writeUInt8(flipped.readUInt8(30) ^ 1, 30);
        storage.disk.files.set("main.vote", flipped);
        t.is(codeOf(await VoteRecord.load(filesOn(storage))), "logDamaged");
    });
});

describe("loadIdentity", () => {
    it("generates an identity once, and refuses another cluster and a used folder without an identity", async t => {
        const storage = new MemoryLogStorage();
        const generated = (await loadIdentity(storage, "test")).unwrap();
        t.deepEqual((await loadIdentity(storage, "test")).unwrap(), generated);
        t.is(codeOf(await loadIdentity(storage, "other")), "logFolderForeign");
        await openAndAppend(storage, 1);
        storage.disk.files.delete("identity");
        t.is(codeOf(await loadIdentity(storage, "test")), "logIncomplete");
    });
});

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { DurableLog } from "../../../src/process/replicatedLog/durableLog.js";
import { FileLogStorage } from "../../../src/process/replicatedLog/fileLogStorage.js";
import type { LogStorage } from "../../../src/process/replicatedLog/logStorage.js";
import { emptyMembership } from "../../../src/process/replicatedLog/membership.js";
import type { Failure } from "../../../src/resultCode/resultCode.js";
import type { Result } from "../../../src/util/result.js";
import { describe, it } from "../../describe.js";
import { diskOperations, FaultyFileSystem } from "./faultyFileSystem.js";

/** An operation of the storage on a folder with the file `log`, and what the folder holds before and after it. */
interface StorageOperation {
    readonly name: string;
    readonly run: (storage: LogStorage) => Promise<Result<void, Failure>>;
    readonly before: string;
    /** Undefined if the file is gone. */
    readonly after: string | undefined;
}

const operations: readonly StorageOperation[] = [
    { name: "append", run: storage => storage.append("log", Buffer.from("-new")), before: "old", after: "old-new" },
    { name: "replace", run: storage => storage.replace("log", Buffer.from("new")), before: "old", after: "new" },
    { name: "truncate", run: storage => storage.truncate("log", 1), before: "old", after: "o" },
    { name: "remove", run: storage => storage.remove("log"), before: "old", after: undefined },
];

/** Reads the file as a process that starts anew does. */
async function readAnew(folder: string): Promise<string | undefined> {
    const storage = (await FileLogStorage.open(folder)).unwrap();
    const bytes = (await storage.read("log")).unwrap();
    return bytes && Buffer.from(bytes).toString();
}

describe("FileLogStorage on a full disk", () => {
    for (const { name, run, before, after } of operations) {
        for (const operation of diskOperations) {
            for (const takesEffect of [false, true]) {
                const effect = takesEffect ? "after it took effect" : "without effect";
                // Guards against members that halt for good because not a write, but a sync or a rename met a full disk.
                it(`${name} leaves the file as it was, or completes, when ${operation} fails ${effect}`, async t => {
                    const folder = await mkdtemp(join(tmpdir(), "gullhall-storage-"));
                    t.teardown(() => rm(folder, { recursive: true }));
                    const fileSystem = new FaultyFileSystem(operation, takesEffect);
                    const storage = (await FileLogStorage.open(folder, undefined, fileSystem)).unwrap();
                    (await storage.replace("log", Buffer.from(before))).unwrap();
                    fileSystem.remainingFailures = 3;
                    let result = await run(storage);
                    while (result.err) {
                        t.is(result.val.code, "storageFull");
                        t.is(await readAnew(folder), before);
                        result = await run(storage);
                    }
                    fileSystem.remainingFailures = 0;
                    t.is(await readAnew(folder), after);
                    (await storage.replace("log", Buffer.from("next"))).unwrap();
                    (await storage.append("log", Buffer.from("-last"))).unwrap();
                    t.is(await readAnew(folder), "next-last");
                    await storage.close();
                });
            }
        }
    }

    // Guards against a snapshot that is installed on disk but not in memory, so that later entries go to the wrong file.
    it("keeps log and files in step when old segments cannot be removed after a snapshot was installed", async t => {
        const folder = await mkdtemp(join(tmpdir(), "gullhall-storage-"));
        t.teardown(() => rm(folder, { recursive: true }));
        const fileSystem = new FaultyFileSystem("rm", false);
        const storage = (await FileLogStorage.open(folder, undefined, fileSystem)).unwrap();
        const files = { storage, identity: { cluster: "test", memberId: "me" }, group: "main" };
        const log = (await DurableLog.open(files, true)).unwrap();
        (await log.append([{ kind: "noOp", position: 1, term: 1 }])).unwrap();
        fileSystem.remainingFailures = 1;
        await log.install({ position: 10, term: 2, membership: emptyMembership, state: new Uint8Array() });
        const next = log.lastPosition + 1;
        (await log.append([{ kind: "noOp", position: next, term: 2 }])).unwrap();
        await storage.close();
        const reopened = await DurableLog.open(
            { ...files, storage: (await FileLogStorage.open(folder)).unwrap() },
            false,
        );
        t.is(reopened.unwrap().lastPosition, next);
    });
});

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import { DiskSpace } from "../../../src/process/replicatedLog/diskSpace.js";
import { FileLogStorage } from "../../../src/process/replicatedLog/fileLogStorage.js";
import { SystemClock } from "../../../src/util/clock.js";
import { describe, it } from "../../describe.js";
import { FaultyFileSystem } from "./faultyFileSystem.js";

describe("DiskSpace", () => {
    for (const operation of ["appendFile", "datasync", "sync"] as const) {
        // Guards against full disks that operators learn of only from members that are gone.
        it(`reports once when a disk is full, and once when it has room again (${operation})`, async t => {
            const folder = await mkdtemp(join(tmpdir(), "gullhall-storage-"));
            t.teardown(() => rm(folder, { recursive: true }));
            const events: string[] = [];
            const eventLog = new EventLog("test", "json", line => {
                events.push(String((JSON.parse(line) as Readonly<Record<string, unknown>>)["id"]));
            });
            const diskSpace = new DiskSpace(new SystemClock(), eventLog);
            const fileSystem = new FaultyFileSystem(operation, false);
            const storage = (await FileLogStorage.open(folder, diskSpace, fileSystem)).unwrap();
            (await storage.replace("log", Buffer.from("old"))).unwrap();
            t.deepEqual(events, []);
            fileSystem.remainingFailures = 3;
            const write = operation === "sync"
                ? () => storage.replace("log", Buffer.from("new"))
                : () => storage.append("log", Buffer.from("new"));
            while ((await write()).err) {
                t.true(diskSpace.isFull);
            }
            t.false(diskSpace.isFull);
            t.deepEqual(events, ["diskFull", "diskWritable"]);
            await storage.close();
        });
    }
});

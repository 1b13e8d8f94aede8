import { LogStorage } from "../../../src/process/replicatedLog/logStorage.js";
import { failure } from "../../../src/resultCode/resultCode.js";
import type { Failure } from "../../../src/resultCode/resultCode.js";
import { SystemClock } from "../../../src/util/clock.js";
import type { Milliseconds } from "../../../src/util/clock.js";
import { ConditionVariable } from "../../../src/util/conditionVariable.js";
import { Err } from "../../../src/util/result.js";
import type { Result } from "../../../src/util/result.js";

/** Condition of a simulated disk: healthy, slow, blocking all writes, or without free space. */
export type DiskCondition = "sound" | "slow" | "stalled" | "full";

/** Delay of each modifying operation on a slow disk. */
const slowWriteDelay: Milliseconds = 120;

const clock = new SystemClock();

/** Simulated disk whose modifying operations can be delayed, blocked or refused. */
export class FaultyDisk {
    private condition: DiskCondition = "sound";
    private readonly conditionChanged = new ConditionVariable();

    /** Sets the condition of the disk. */
    setCondition(condition: DiskCondition): void {
        this.condition = condition;
        this.conditionChanged.notifyAll();
    }

    /** Wraps a storage so that its modifying operations are subject to the condition of this disk. */
    wrapStorage(storage: LogStorage): LogStorage {
        return new FaultyStorage(storage, this);
    }

    /** Waits as long as the condition delays a modifying operation; returns whether the disk has free space for it. */
    async waitForWrite(): Promise<boolean> {
        while (this.condition === "stalled") {
            await this.conditionChanged.wait();
        }
        if (this.condition === "slow") {
            await clock.sleep(slowWriteDelay);
        }
        return this.condition !== "full";
    }
}

class FaultyStorage extends LogStorage {
    constructor(private readonly storage: LogStorage, private readonly disk: FaultyDisk) {
        super();
    }

    override list(): Promise<Result<readonly string[], Failure>> {
        return this.storage.list();
    }

    override read(name: string): Promise<Result<Uint8Array | undefined, Failure>> {
        return this.storage.read(name);
    }

    override async replace(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return await this.disk.waitForWrite() ? this.storage.replace(name, bytes) : storageFullError("replace", name);
    }

    override async append(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return await this.disk.waitForWrite() ? this.storage.append(name, bytes) : storageFullError("append", name);
    }

    override async truncate(name: string, length: number): Promise<Result<void, Failure>> {
        await this.disk.waitForWrite();
        return this.storage.truncate(name, length);
    }

    override async remove(name: string): Promise<Result<void, Failure>> {
        await this.disk.waitForWrite();
        return this.storage.remove(name);
    }

    override close(): Promise<void> {
        return this.storage.close();
    }
}

function storageFullError(operation: string, name: string): Result<void, Failure> {
    return Err(failure("storageFull", { operation, name, reason: "disk full, simulated by the soak" }));
}

import { LogStorage } from "../../../src/process/replicatedLog/logStorage.js";
import { failure } from "../../../src/resultCode/resultCode.js";
import type { Failure } from "../../../src/resultCode/resultCode.js";
import { SystemClock } from "../../../src/util/clock.js";
import type { Milliseconds } from "../../../src/util/clock.js";
import { ConditionVariable } from "../../../src/util/conditionVariable.js";
import { Err } from "../../../src/util/result.js";
import type { Result } from "../../../src/util/result.js";

/** What is wrong with a disk. */
export type DiskCondition = "sound" | "slow" | "stalled" | "full";

/** Time of each change on a slow disk. */
const slowChange: Milliseconds = 120;

const clock = new SystemClock();

/** A disk that is slow, answers nothing, or takes no more bytes while it is told to. */
export class FaultyDisk {
    private condition: DiskCondition = "sound";
    private readonly changed = new ConditionVariable();

    /** Puts a condition in force. */
    set(condition: DiskCondition): void {
        this.condition = condition;
        this.changed.notifyAll();
    }

    /** The files of a sound storage, on this disk. */
    storageOver(sound: LogStorage): LogStorage {
        return new FaultyStorage(sound, this);
    }

    /** Waits as the disk makes a change wait; whether there is room for it. */
    async hasRoom(): Promise<boolean> {
        while (this.condition === "stalled") {
            await this.changed.wait();
        }
        if (this.condition === "slow") {
            await clock.sleep(slowChange);
        }
        return this.condition !== "full";
    }
}

class FaultyStorage extends LogStorage {
    constructor(private readonly sound: LogStorage, private readonly disk: FaultyDisk) {
        super();
    }

    override list(): Promise<Result<readonly string[], Failure>> {
        return this.sound.list();
    }

    override read(name: string): Promise<Result<Uint8Array | undefined, Failure>> {
        return this.sound.read(name);
    }

    override async replace(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return await this.disk.hasRoom() ? this.sound.replace(name, bytes) : noRoom("replace", name);
    }

    override async append(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return await this.disk.hasRoom() ? this.sound.append(name, bytes) : noRoom("append", name);
    }

    override async truncate(name: string, length: number): Promise<Result<void, Failure>> {
        await this.disk.hasRoom();
        return this.sound.truncate(name, length);
    }

    override async remove(name: string): Promise<Result<void, Failure>> {
        await this.disk.hasRoom();
        return this.sound.remove(name);
    }

    override close(): Promise<void> {
        return this.sound.close();
    }
}

function noRoom(operation: string, name: string): Result<void, Failure> {
    return Err(failure("storageFull", { operation, name, reason: "the soak says so" }));
}

import { LogStorage } from "../../../src/process/replicatedLog/logStorage.js";
import type { Failure } from "../../../src/resultCode/resultCode.js";
import { failure } from "../../../src/resultCode/resultCode.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { Err, Ok } from "../../../src/util/result.js";
import type { Result } from "../../../src/util/result.js";

/** Files as they stand on a disk; they outlive the processes that use them. */
export class MemoryDisk {
    files = new Map<string, Buffer>();
    /** Whether appends and replacements fail for want of space. */
    full = false;
    /** Whether operations take for ever. */
    stalled = false;
    /** Leaves what a crash may leave of the operation under way. */
    private tear: ((fraction: number) => void) | undefined;

    /** A copy of a file; empty when there is none. */
    contentOf(name: string): Buffer {
        return Buffer.from(this.files.get(name) ?? Buffer.alloc(0));
    }

    /** Puts a content in place of a file's, if there is one. */
    put(name: string, content: Uint8Array | undefined): void {
        if (content !== undefined) {
            this.files.set(name, Buffer.from(content));
        }
    }

    /** Begins an operation that a crash would tear. */
    begin(tear: (fraction: number) => void): void {
        this.tear = tear;
    }

    /** Ends the operation under way. */
    end(): void {
        this.tear = undefined;
    }

    /** Loses what was not synced; a fraction of the operation under way may have reached the disk. */
    crash(random: RandomSource): void {
        this.tear?.(random.float() * 1.2);
        this.tear = undefined;
    }

    /** A copy of the files. */
    image(): ReadonlyMap<string, Buffer> {
        return new Map(this.files);
    }

    /** Puts a copy in place of the files. */
    restore(image: ReadonlyMap<string, Buffer>): void {
        this.files = new Map(image);
    }
}

/** Decides when the operations of a storage take effect. */
export abstract class DiskPace {
    /** Begins an operation, and completes it after its time. */
    abstract run(begin: () => void, complete: () => void): Promise<void>;
}

/** Operations that take effect at once. */
class ImmediatePace extends DiskPace {
    override async run(begin: () => void, complete: () => void): Promise<void> {
        begin();
        complete();
        return Promise.resolve();
    }
}

/** A storage in memory whose operations are durable only when they end. */
export class MemoryLogStorage extends LogStorage {
    constructor(readonly disk = new MemoryDisk(), private readonly pace: DiskPace = new ImmediatePace()) {
        super();
    }

    override async list(): Promise<Result<readonly string[], Failure>> {
        return Promise.resolve(Ok([...this.disk.files.keys()]));
    }

    override async read(name: string): Promise<Result<Uint8Array | undefined, Failure>> {
        return Promise.resolve(Ok(this.disk.files.has(name) ? this.disk.contentOf(name) : undefined));
    }

    override async replace(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return this.grow(fraction => {
            this.disk.put(name, fraction < 1 ? undefined : bytes);
        });
    }

    override async append(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        const before = this.disk.contentOf(name);
        return this.grow(fraction => {
            const written = bytes.subarray(0, Math.floor(bytes.length * Math.min(1, fraction)));
            this.disk.put(name, Buffer.concat([before, written]));
        });
    }

    override async truncate(name: string, length: number): Promise<Result<void, Failure>> {
        const cut = this.disk.contentOf(name).subarray(0, length);
        return this.operate(fraction => {
            this.disk.put(name, fraction < 1 ? undefined : cut);
        });
    }

    override async remove(name: string): Promise<Result<void, Failure>> {
        return this.operate(fraction => fraction >= 1 && this.disk.files.delete(name));
    }

    override async close(): Promise<void> {
        return Promise.resolve();
    }

    /** A full disk says so when the operation ends, as a real one does. */
    private async grow(apply: (fraction: number) => void): Promise<Result<void, Failure>> {
        let isRefused = false as boolean;
        await this.operate(fraction => {
            isRefused = this.disk.full;
            if (!isRefused) {
                apply(fraction);
            }
        });
        return isRefused ? Err(failure("storageFull", { operation: "write", name: "memory" })) : Ok(undefined);
    }

    private async operate(apply: (fraction: number) => void): Promise<Result<void, Failure>> {
        const complete = (): void => {
            apply(1);
            this.disk.end();
        };
        await this.pace.run(() => {
            this.disk.begin(apply);
        }, complete);
        return Ok(undefined);
    }
}

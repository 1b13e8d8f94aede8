import { LogStorage } from "../../../src/process/replicatedLog/logStorage.js";
import type { Failure } from "../../../src/resultCode/resultCode.js";
import { failure } from "../../../src/resultCode/resultCode.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { Err, Ok } from "../../../src/util/result.js";
import type { Result } from "../../../src/util/result.js";
import type { VirtualProcess, VirtualTime } from "./virtualTime.js";

/** Files as they stand on a disk; they outlive the processes that use them. */
export class MemoryDisk {
    files = new Map<string, Buffer>();
    /** Whether appends and replacements fail for want of space. */
    full = false;
    /** Whether operations take for ever. */
    stalled = false;
    /** Leaves what a crash may leave of the operation under way. */
    private tear: ((fraction: number) => void) | undefined;

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

/** A storage in memory whose operations take virtual time and are durable only when they end. */
export class MemoryLogStorage extends LogStorage {
    constructor(
        private readonly disk: MemoryDisk,
        private readonly time: VirtualTime,
        private readonly process: VirtualProcess,
        private readonly random: RandomSource,
    ) {
        super();
    }

    override async list(): Promise<Result<readonly string[], Failure>> {
        return Promise.resolve(Ok([...this.disk.files.keys()]));
    }

    override async read(name: string): Promise<Result<Uint8Array | undefined, Failure>> {
        const content = this.disk.files.get(name);
        return Promise.resolve(Ok(content === undefined ? undefined : Buffer.from(content)));
    }

    override async replace(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return this.change(name, fraction => fraction < 1 ? undefined : Buffer.from(bytes));
    }

    override async append(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        const before = this.disk.files.get(name) ?? Buffer.alloc(0);
        return this.change(
            name,
            fraction => Buffer.concat([before, bytes.subarray(0, Math.floor(bytes.length * Math.min(1, fraction)))]),
        );
    }

    override async truncate(name: string, length: number): Promise<Result<void, Failure>> {
        const before = this.disk.files.get(name) ?? Buffer.alloc(0);
        return this.operate(fraction => {
            this.disk.files.set(name, fraction < 1 ? before : before.subarray(0, length));
        });
    }

    override async remove(name: string): Promise<Result<void, Failure>> {
        return this.operate(fraction => {
            if (fraction >= 1) {
                this.disk.files.delete(name);
            }
        });
    }

    override async close(): Promise<void> {
        return Promise.resolve();
    }

    private async change(
        name: string,
        contentAt: (fraction: number) => Buffer | undefined,
    ): Promise<Result<void, Failure>> {
        if (this.disk.full) {
            return Err(failure("storageFull", { operation: "write", name }));
        }
        return this.operate(fraction => {
            const content = contentAt(fraction);
            if (content !== undefined) {
                this.disk.files.set(name, content);
            }
        });
    }

    private async operate(apply: (fraction: number) => void): Promise<Result<void, Failure>> {
        const { disk, process } = this;
        if (process.alive) {
            disk.begin(apply);
        }
        const slow = this.random.float() < 0.02 ? 200 : 2;
        await new Promise<void>(resolve => {
            this.time.schedule(this.random.float() * slow, () => {
                if (process.alive && !disk.stalled) {
                    apply(1);
                    disk.end();
                    process.run(resolve);
                }
            });
        });
        return Ok(undefined);
    }
}

import { LogStorage } from "../../../src/process/replicatedLog/logStorage.js";
import type { Failure } from "../../../src/resultCode/resultCode.js";
import { failure } from "../../../src/resultCode/resultCode.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { Err, Ok } from "../../../src/util/result.js";
import type { Result } from "../../../src/util/result.js";

/** The files of a simulated disk; they outlive the processes that use them. */
export class MemoryDisk {
    files = new Map<string, Buffer>();
    /** Whether appends and replacements fail because the disk is full. */
    full = false;
    /** Whether operations never complete. */
    stalled = false;
    /** Minimum duration of an operation, in milliseconds. */
    minimumLatency = 0;
    /** Applies a fraction of the running operation, as a crash may. */
    private applyPartially: ((fraction: number) => void) | undefined;

    /** A copy of a file; empty when the file does not exist. */
    contentOf(name: string): Buffer {
        return Buffer.from(this.files.get(name) ?? Buffer.alloc(0));
    }

    /** Replaces the content of a file; undefined content changes nothing. */
    put(name: string, content: Uint8Array | undefined): void {
        if (content !== undefined) {
            this.files.set(name, Buffer.from(content));
        }
    }

    /** Begins an operation that a crash would apply partially. */
    begin(applyPartially: (fraction: number) => void): void {
        this.applyPartially = applyPartially;
    }

    /** Ends the running operation. */
    end(): void {
        this.applyPartially = undefined;
    }

    /** Simulates a crash: a random fraction of the running operation takes effect, and all of it in one case of six. */
    crash(random: RandomSource): void {
        this.applyPartially?.(random.float() * 1.2);
        this.applyPartially = undefined;
    }

    /** A copy of the files. */
    image(): ReadonlyMap<string, Buffer> {
        return new Map(this.files);
    }

    /** Replaces all files with those of an image. */
    restore(image: ReadonlyMap<string, Buffer>): void {
        this.files = new Map(image);
    }
}

/** Decides when the operations of a disk take effect. */
export abstract class DiskLatency {
    /** Begins an operation, and completes it after its latency. */
    abstract run(begin: () => void, complete: () => void): Promise<void>;
}

/** Operations take effect immediately. */
class NoDiskLatency extends DiskLatency {
    override async run(begin: () => void, complete: () => void): Promise<void> {
        begin();
        complete();
        return Promise.resolve();
    }
}

/** An in-memory storage whose operations are durable only when they complete. */
export class MemoryLogStorage extends LogStorage {
    constructor(readonly disk = new MemoryDisk(), private readonly latency: DiskLatency = new NoDiskLatency()) {
        super();
    }

    override async list(): Promise<Result<readonly string[], Failure>> {
        return Promise.resolve(Ok([...this.disk.files.keys()]));
    }

    override async read(name: string): Promise<Result<Uint8Array | undefined, Failure>> {
        return Promise.resolve(Ok(this.disk.files.has(name) ? this.disk.contentOf(name) : undefined));
    }

    override async replace(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return this.writeUnlessFull(fraction => {
            this.disk.put(name, fraction < 1 ? undefined : bytes);
        });
    }

    override async append(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        const before = this.disk.contentOf(name);
        return this.writeUnlessFull(fraction => {
            const written = bytes.subarray(0, Math.floor(bytes.length * Math.min(1, fraction)));
            this.disk.put(name, Buffer.concat([before, written]));
        });
    }

    override async truncate(name: string, length: number): Promise<Result<void, Failure>> {
        const truncated = this.disk.contentOf(name).subarray(0, length);
        return this.runOperation(fraction => {
            this.disk.put(name, fraction < 1 ? undefined : truncated);
        });
    }

    override async remove(name: string): Promise<Result<void, Failure>> {
        return this.runOperation(fraction => fraction >= 1 && this.disk.files.delete(name));
    }

    override async close(): Promise<void> {
        return Promise.resolve();
    }

    /** Applies an operation unless the disk is full when the operation completes, as a real disk reports it. */
    private async writeUnlessFull(apply: (fraction: number) => void): Promise<Result<void, Failure>> {
        let isRefused = false as boolean;
        await this.runOperation(fraction => {
            isRefused = this.disk.full;
            if (!isRefused) {
                apply(fraction);
            }
        });
        return isRefused ? Err(failure("storageFull", { operation: "write", name: "memory" })) : Ok(undefined);
    }

    private async runOperation(apply: (fraction: number) => void): Promise<Result<void, Failure>> {
        const complete = (): void => {
            apply(1);
            this.disk.end();
        };
        await this.latency.run(() => {
            this.disk.begin(apply);
        }, complete);
        return Ok(undefined);
    }
}

import { LogStorage } from "../../../src/process/replicatedLog/logStorage.js";
import type { Failure } from "../../../src/resultCode/resultCode.js";
import { failure } from "../../../src/resultCode/resultCode.js";
import { Err, Ok } from "../../../src/util/result.js";
import type { Result } from "../../../src/util/result.js";

/** Files in memory that change at once. */
export class ImmediateStorage extends LogStorage {
    readonly files = new Map<string, Buffer>();
    /** Whether changes fail for want of space. */
    full = false;

    /** A copy of a file. */
    contentOf(name: string): Buffer {
        return Buffer.from(this.files.get(name) ?? Buffer.alloc(0));
    }

    override async list(): Promise<Result<readonly string[], Failure>> {
        return Promise.resolve(Ok([...this.files.keys()]));
    }

    override async read(name: string): Promise<Result<Uint8Array | undefined, Failure>> {
        return Promise.resolve(Ok(this.files.has(name) ? this.contentOf(name) : undefined));
    }

    override async replace(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return this.put(name, Buffer.from(bytes));
    }

    override async append(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return this.put(name, Buffer.concat([this.contentOf(name), bytes]));
    }

    override async truncate(name: string, length: number): Promise<Result<void, Failure>> {
        return this.put(name, this.contentOf(name).subarray(0, length));
    }

    override async remove(name: string): Promise<Result<void, Failure>> {
        this.files.delete(name);
        return Promise.resolve(Ok(undefined));
    }

    override async close(): Promise<void> {
        return Promise.resolve();
    }

    private async put(name: string, content: Buffer): Promise<Result<void, Failure>> {
        if (this.full) {
            return Promise.resolve(Err(failure("storageFull", { operation: "write", name })));
        }
        this.files.set(name, content);
        return Promise.resolve(Ok(undefined));
    }
}

import { open, rename, rm } from "node:fs/promises";
import type { FileSystem } from "../../../src/process/replicatedLog/fileLogStorage.js";

/** Operations that may report that the disk is full. */
export const diskOperations = [
    "open",
    "appendFile",
    "writeFile",
    "datasync",
    "sync",
    "truncate",
    "rename",
    "rm",
] as const;

/** One of {@link diskOperations}. */
export type DiskOperation = typeof diskOperations[number];

function isDiskOperation(name: PropertyKey): name is DiskOperation {
    return diskOperations.some(operation => operation === name);
}

/** The local file system, of which one operation reports for a number of times that the disk is full. */
export class FaultyFileSystem implements FileSystem {
    /** Number of times that the operation still fails. */
    remainingFailures = 0;
    /** Operations that failed. */
    readonly failed: DiskOperation[] = [];

    /**
     * @param operation The operation that fails.
     * @param takesEffect Whether an operation that fails has taken effect nevertheless, as a write with a late error.
     */
    constructor(private readonly operation: DiskOperation, private readonly takesEffect: boolean) {}

    readonly open: FileSystem["open"] = async (path, flags, mode) => {
        const handle = await this.attempt("open", () => open(path, flags, mode));
        return new Proxy(handle, {
            get: (target, name) => {
                const value: unknown = Reflect.get(target, name);
                if (typeof value !== "function") {
                    return value;
                }
                const method = value as (...values: readonly unknown[]) => Promise<unknown>;
                return async (...values: readonly unknown[]) => {
                    const run = (): Promise<unknown> => method.apply(target, [...values]);
                    return isDiskOperation(name) ? this.attempt(name, run) : run();
                };
            },
        });
    };

    readonly rename: FileSystem["rename"] = (from, to) => this.attempt("rename", () => rename(from, to));

    readonly rm: FileSystem["rm"] = (path, options) => this.attempt("rm", () => rm(path, options));

    private async attempt<T>(operation: DiskOperation, run: () => Promise<T>): Promise<T> {
        if (operation !== this.operation || this.remainingFailures === 0) {
            return run();
        }
        this.remainingFailures--;
        this.failed.push(operation);
        const isWrite = operation === "appendFile" || operation === "writeFile";
        if (this.takesEffect && isWrite) {
            await run();
        }
        throw Object.assign(new Error(`${operation}: no space left on device`), { code: "ENOSPC" });
    }
}

import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { dirname, join, resolve } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { DiskSpace } from "./diskSpace.js";
import { LogStorage } from "./logStorage.js";

/** Suffix of a file that is still being written; such files are ignored and overwritten. */
const temporarySuffix = ".tmp";

/** Time between two attempts to bring files into a known state on a full disk. */
const fullDiskRetryInterval: Milliseconds = 50;

/** Error codes of operations that failed because no space is left. */
const fullDiskCodes: readonly string[] = ["ENOSPC", "EDQUOT", "EFBIG"];

/** The operations of the file system that modify files or make them durable. */
export interface FileSystem {
    readonly open: typeof open;
    readonly rename: typeof rename;
    readonly rm: typeof rm;
}

/** A file that is open for appending, and its durable length in bytes. */
interface OpenFile {
    readonly handle: FileHandle;
    readonly bytes: number;
}

/**
 * Stores the files in one folder of the local file system.
 *
 * Any operation may report that the disk is full, also one that writes nothing: file systems with delayed allocation
 * report it at the sync. An operation that has changed files by then ends only when they are in a known state again.
 */
export class FileLogStorage extends LogStorage {
    private readonly openFiles = new Map<string, OpenFile>();

    private constructor(
        private readonly folder: string,
        private readonly diskSpace: DiskSpace | undefined,
        private readonly fileSystem: FileSystem,
    ) {
        super();
    }

    /**
     * Opens a folder, creating it durably if it does not exist.
     *
     * @param diskSpace Is told when the disk is full and when it has room again.
     */
    static async open(
        folder: string,
        diskSpace?: DiskSpace,
        fileSystem: FileSystem = { open, rename, rm },
    ): Promise<Result<FileLogStorage, Failure>> {
        return toResult(diskSpace, "open", folder, async () => {
            const path = resolve(folder);
            const firstCreated = await mkdir(path, { recursive: true, mode: 0o700 });
            await syncParents(fileSystem, path, firstCreated ?? path);
            return new FileLogStorage(path, diskSpace, fileSystem);
        });
    }

    override async list(): Promise<Result<readonly string[], Failure>> {
        return this.toResult("list", this.folder, async () => {
            const names = await readdir(this.folder);
            return names.filter(name => !name.endsWith(temporarySuffix));
        });
    }

    override async read(name: string): Promise<Result<Uint8Array | undefined, Failure>> {
        return this.toResult("read", name, async () => {
            try {
                return await readFile(this.pathOf(name));
            }
            catch (error) {
                if (errorCodeOf(error) === "ENOENT") {
                    return undefined;
                }
                throw error;
            }
        });
    }

    override async replace(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return this.write("replace", name, async () => {
            await this.closeFile(name);
            const temporary = this.pathOf(name) + temporarySuffix;
            try {
                await this.writeSynced(temporary, bytes);
                await this.fileSystem.rename(temporary, this.pathOf(name));
            }
            catch (error) {
                await this.fileSystem.rm(temporary, { force: true }).catch(() => undefined);
                throw error;
            }
            await this.syncRenames();
        });
    }

    override async append(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return this.write("append", name, async () => {
            const file = await this.openFile(name);
            try {
                await file.handle.appendFile(bytes);
                await file.handle.datasync();
            }
            catch (error) {
                await this.completeOnceWritable(name, async () => {
                    await file.handle.truncate(file.bytes);
                    await file.handle.sync();
                });
                throw error;
            }
            this.openFiles.set(name, { ...file, bytes: file.bytes + bytes.length });
        });
    }

    override async truncate(name: string, length: number): Promise<Result<void, Failure>> {
        return this.toResult("truncate", name, async () => {
            const { handle } = await this.openFile(name);
            await this.completeOnceWritable(name, async () => {
                await handle.truncate(length);
                await handle.sync();
            });
            this.openFiles.set(name, { handle, bytes: length });
        });
    }

    override async remove(name: string): Promise<Result<void, Failure>> {
        return this.toResult("remove", name, async () => {
            await this.closeFile(name);
            await this.fileSystem.rm(this.pathOf(name), { force: true });
            await this.syncRenames();
        });
    }

    override async close(): Promise<void> {
        for (const name of [...this.openFiles.keys()]) {
            await this.closeFile(name);
        }
    }

    private toResult<T>(operation: string, name: string, action: () => Promise<T>): Promise<Result<T, Failure>> {
        return toResult(this.diskSpace, operation, name, action);
    }

    /** Runs an operation that needs room. */
    private async write(operation: string, name: string, action: () => Promise<void>): Promise<Result<void, Failure>> {
        const written = await this.toResult(operation, name, action);
        if (written.ok) {
            this.diskSpace?.recordWritten();
        }
        return written;
    }

    /** Repeats an action while the disk is full; any other error leaves the stored state unknown. */
    private async completeOnceWritable(name: string, action: () => Promise<void>): Promise<void> {
        for (;;) {
            try {
                await action();
                return;
            }
            catch (error) {
                if (!isFullDiskError(error)) {
                    throw new UncertainStateError(String(error));
                }
                this.diskSpace?.recordFull("recovery", name);
                await sleep(fullDiskRetryInterval);
            }
        }
    }

    private async writeSynced(path: string, bytes: Uint8Array): Promise<void> {
        const handle = await this.fileSystem.open(path, "w");
        try {
            await handle.writeFile(bytes);
            await handle.sync();
        }
        finally {
            await handle.close();
        }
    }

    /** Makes the names in the folder durable. */
    private async syncRenames(): Promise<void> {
        await this.completeOnceWritable(this.folder, () => syncFolder(this.fileSystem, this.folder));
    }

    private pathOf(name: string): string {
        return join(this.folder, name);
    }

    private async openFile(name: string): Promise<OpenFile> {
        const existing = this.openFiles.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const handle = await this.fileSystem.open(this.pathOf(name), "a");
        const file = { handle, bytes: (await handle.stat()).size };
        this.openFiles.set(name, file);
        return file;
    }

    private async closeFile(name: string): Promise<void> {
        const file = this.openFiles.get(name);
        this.openFiles.delete(name);
        await file?.handle.close();
    }
}

/** A failure that leaves the stored state unknown; reported as `storageFailed` even if its cause is a full disk. */
class UncertainStateError extends Error {}

/** Syncs each folder in which a folder was created, from the parent of `path` up to the parent of `firstCreated`. */
async function syncParents(fileSystem: FileSystem, path: string, firstCreated: string): Promise<void> {
    const lastParent = dirname(firstCreated);
    for (let parent = dirname(path); parent.length >= lastParent.length; parent = dirname(parent)) {
        await syncFolder(fileSystem, parent);
        if (parent === dirname(parent)) {
            return;
        }
    }
}

async function syncFolder(fileSystem: FileSystem, folder: string): Promise<void> {
    const handle = await fileSystem.open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

function isFullDiskError(error: unknown): boolean {
    return fullDiskCodes.includes(errorCodeOf(error) ?? "");
}

function errorCodeOf(error: unknown): string | undefined {
    return error instanceof Error && "code" in error ? String(error.code) : undefined;
}

/** Runs an operation; maps errors to `storageFull` if no space is left, otherwise to `storageFailed`. */
async function toResult<T>(
    diskSpace: DiskSpace | undefined,
    operation: string,
    name: string,
    action: () => Promise<T>,
): Promise<Result<T, Failure>> {
    try {
        return Ok(await action());
    }
    catch (error) {
        const isFull = isFullDiskError(error);
        if (isFull) {
            diskSpace?.recordFull(operation, name);
        }
        return Err(failure(isFull ? "storageFull" : "storageFailed", { operation, name, reason: String(error) }));
    }
}

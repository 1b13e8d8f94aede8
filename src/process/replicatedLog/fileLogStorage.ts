import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { dirname, join, resolve } from "node:path";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { LogStorage } from "./logStorage.js";

/** Suffix of a file that is still being written; such files are ignored and overwritten. */
const temporarySuffix = ".tmp";

/** A file that is open for appending, and its durable length in bytes. */
interface OpenFile {
    readonly handle: FileHandle;
    readonly bytes: number;
}

/** Stores the files in one folder of the local file system. */
export class FileLogStorage extends LogStorage {
    private readonly openFiles = new Map<string, OpenFile>();

    private constructor(private readonly folder: string) {
        super();
    }

    /** Opens a folder, creating it durably if it does not exist. */
    static async open(folder: string): Promise<Result<FileLogStorage, Failure>> {
        return toResult("open", folder, async () => {
            const path = resolve(folder);
            const firstCreated = await mkdir(path, { recursive: true, mode: 0o700 });
            await syncParents(path, firstCreated ?? path);
            return new FileLogStorage(path);
        });
    }

    override async list(): Promise<Result<readonly string[], Failure>> {
        return toResult("list", this.folder, async () => {
            const names = await readdir(this.folder);
            return names.filter(name => !name.endsWith(temporarySuffix));
        });
    }

    override async read(name: string): Promise<Result<Uint8Array | undefined, Failure>> {
        return toResult("read", name, async () => {
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
        return toResult("replace", name, async () => {
            await this.closeFile(name);
            const temporary = this.pathOf(name) + temporarySuffix;
            try {
                await writeSynced(temporary, bytes);
            }
            catch (error) {
                await rm(temporary, { force: true });
                throw error;
            }
            await uncertainOnError(async () => {
                await rename(temporary, this.pathOf(name));
                await syncFolder(this.folder);
            });
        });
    }

    override async append(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return toResult("append", name, async () => {
            const file = await this.openFile(name);
            try {
                await file.handle.appendFile(bytes);
            }
            catch (error) {
                await uncertainOnError(async () => {
                    await file.handle.truncate(file.bytes);
                    await file.handle.sync();
                });
                throw error;
            }
            await uncertainOnError(async () => file.handle.datasync());
            this.openFiles.set(name, { ...file, bytes: file.bytes + bytes.length });
        });
    }

    override async truncate(name: string, length: number): Promise<Result<void, Failure>> {
        return toResult("truncate", name, async () => {
            const { handle } = await this.openFile(name);
            await handle.truncate(length);
            await handle.sync();
            this.openFiles.set(name, { handle, bytes: length });
        });
    }

    override async remove(name: string): Promise<Result<void, Failure>> {
        return toResult("remove", name, async () => {
            await this.closeFile(name);
            await rm(this.pathOf(name), { force: true });
            await syncFolder(this.folder);
        });
    }

    override async close(): Promise<void> {
        for (const name of [...this.openFiles.keys()]) {
            await this.closeFile(name);
        }
    }

    private pathOf(name: string): string {
        return join(this.folder, name);
    }

    private async openFile(name: string): Promise<OpenFile> {
        const existing = this.openFiles.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const handle = await open(this.pathOf(name), "a");
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

/** Reports any error of the action as an {@link UncertainStateError}. */
async function uncertainOnError(action: () => Promise<void>): Promise<void> {
    try {
        await action();
    }
    catch (error) {
        throw new UncertainStateError(String(error));
    }
}

async function writeSynced(path: string, bytes: Uint8Array): Promise<void> {
    const handle = await open(path, "w");
    try {
        await handle.writeFile(bytes);
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

/** Syncs each folder in which a folder was created, from the parent of `path` up to the parent of `firstCreated`. */
async function syncParents(path: string, firstCreated: string): Promise<void> {
    const lastParent = dirname(firstCreated);
    for (let parent = dirname(path); parent.length >= lastParent.length; parent = dirname(parent)) {
        await syncFolder(parent);
        if (parent === dirname(parent)) {
            return;
        }
    }
}

async function syncFolder(folder: string): Promise<void> {
    const handle = await open(folder, "r");
    try {
        await handle.sync();
    }
    finally {
        await handle.close();
    }
}

function errorCodeOf(error: unknown): string | undefined {
    return error instanceof Error && "code" in error ? String(error.code) : undefined;
}

/** Runs an operation; maps errors to `storageFull` if no space is left, otherwise to `storageFailed`. */
async function toResult<T>(operation: string, name: string, action: () => Promise<T>): Promise<Result<T, Failure>> {
    try {
        return Ok(await action());
    }
    catch (error) {
        const full = ["ENOSPC", "EDQUOT", "EFBIG"].includes(errorCodeOf(error) ?? "");
        return Err(failure(full ? "storageFull" : "storageFailed", { operation, name, reason: String(error) }));
    }
}

import { mkdir, open, readdir, readFile, rename, rm } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { dirname, join, resolve } from "node:path";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { LogStorage } from "./logStorage.js";

/** Ending of a file that is not complete yet; such files are ignored and overwritten. */
const temporaryEnding = ".tmp";

/** A file that is open for appending, and its durable length. */
interface OpenFile {
    readonly handle: FileHandle;
    readonly bytes: number;
}

/** Files in one folder of the local disk. */
export class FileLogStorage extends LogStorage {
    private readonly appending = new Map<string, OpenFile>();

    private constructor(private readonly folder: string) {
        super();
    }

    /** Opens a folder, and creates it where it is missing. */
    static async open(folder: string): Promise<Result<FileLogStorage, Failure>> {
        return attempt("open", folder, async () => {
            const path = resolve(folder);
            const firstMade = await mkdir(path, { recursive: true, mode: 0o700 });
            await syncParents(path, firstMade ?? path);
            return new FileLogStorage(path);
        });
    }

    override async list(): Promise<Result<readonly string[], Failure>> {
        return attempt("list", this.folder, async () => {
            const names = await readdir(this.folder);
            return names.filter(name => !name.endsWith(temporaryEnding));
        });
    }

    override async read(name: string): Promise<Result<Uint8Array | undefined, Failure>> {
        return attempt("read", name, async () => {
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
        return attempt("replace", name, async () => {
            await this.release(name);
            const temporary = this.pathOf(name) + temporaryEnding;
            try {
                await writeSynced(temporary, bytes);
            }
            catch (error) {
                await rm(temporary, { force: true });
                throw error;
            }
            await mustSucceed(async () => {
                await rename(temporary, this.pathOf(name));
                await syncFolder(this.folder);
            });
        });
    }

    override async append(name: string, bytes: Uint8Array): Promise<Result<void, Failure>> {
        return attempt("append", name, async () => {
            const file = await this.openFile(name);
            try {
                await file.handle.appendFile(bytes);
            }
            catch (error) {
                await mustSucceed(async () => {
                    await file.handle.truncate(file.bytes);
                    await file.handle.sync();
                });
                throw error;
            }
            await mustSucceed(async () => file.handle.datasync());
            this.appending.set(name, { ...file, bytes: file.bytes + bytes.length });
        });
    }

    override async truncate(name: string, length: number): Promise<Result<void, Failure>> {
        return attempt("truncate", name, async () => {
            const { handle } = await this.openFile(name);
            await handle.truncate(length);
            await handle.sync();
            this.appending.set(name, { handle, bytes: length });
        });
    }

    override async remove(name: string): Promise<Result<void, Failure>> {
        return attempt("remove", name, async () => {
            await this.release(name);
            await rm(this.pathOf(name), { force: true });
            await syncFolder(this.folder);
        });
    }

    override async close(): Promise<void> {
        for (const name of [...this.appending.keys()]) {
            await this.release(name);
        }
    }

    private pathOf(name: string): string {
        return join(this.folder, name);
    }

    private async openFile(name: string): Promise<OpenFile> {
        const known = this.appending.get(name);
        if (known !== undefined) {
            return known;
        }
        const handle = await open(this.pathOf(name), "a");
        const file = { handle, bytes: (await handle.stat()).size };
        this.appending.set(name, file);
        return file;
    }

    private async release(name: string): Promise<void> {
        const file = this.appending.get(name);
        this.appending.delete(name);
        await file?.handle.close();
    }
}

/** A step that failed half-way: what reached the disk is unknown, even where the system reports a full disk. */
class UncertainStateError extends Error {}

async function mustSucceed(action: () => Promise<void>): Promise<void> {
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

/** Syncs every folder that got a new folder in it, from the parent of `path` up to that of `firstMade`. */
async function syncParents(path: string, firstMade: string): Promise<void> {
    const last = dirname(firstMade);
    for (let parent = dirname(path); parent.length >= last.length; parent = dirname(parent)) {
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

async function attempt<T>(operation: string, name: string, action: () => Promise<T>): Promise<Result<T, Failure>> {
    try {
        return Ok(await action());
    }
    catch (error) {
        const full = ["ENOSPC", "EDQUOT", "EFBIG"].includes(errorCodeOf(error) ?? "");
        return Err(failure(full ? "storageFull" : "storageFailed", { operation, name, reason: String(error) }));
    }
}

import type { Failure } from "../../resultCode/resultCode.js";
import type { Result } from "../../util/result.js";

/**
 * Named files of one member, with the operations that a log needs.
 *
 * Each changing operation is durable (file and folder synced) when its promise resolves with a success. After a crash
 * in the middle of one, `append` may leave any prefix of its bytes; the others leave either the old or the new state.
 * Failures: `storageFull` leaves the file as it was; `storageFailed` leaves its state unknown, and the member must halt.
 */
export abstract class LogStorage {
    /** Names of all files. */
    abstract list(): Promise<Result<readonly string[], Failure>>;

    /** The content of a file; undefined when there is none of that name. */
    abstract read(name: string): Promise<Result<Uint8Array | undefined, Failure>>;

    /** Creates a file or replaces its whole content at once. */
    abstract replace(name: string, bytes: Uint8Array): Promise<Result<void, Failure>>;

    /** Adds bytes to the end of a file that exists. */
    abstract append(name: string, bytes: Uint8Array): Promise<Result<void, Failure>>;

    /** Cuts a file to a length. */
    abstract truncate(name: string, length: number): Promise<Result<void, Failure>>;

    /** Removes a file. */
    abstract remove(name: string): Promise<Result<void, Failure>>;

    /** Releases what the storage holds open. */
    abstract close(): Promise<void>;
}

import type { Failure } from "../../resultCode/resultCode.js";
import type { Result } from "../../util/result.js";

/**
 * Storage for the named files of one member.
 *
 * A modifying operation is durable (file and folder synced) once its promise resolves successfully. A crash during
 * `append` may leave any prefix of the appended bytes; the other operations are atomic.
 * Failures: `storageFull` leaves the file unchanged; `storageFailed` leaves its state unknown, and the member must
 * halt.
 */
export abstract class LogStorage {
    /** Lists the names of all files. */
    abstract list(): Promise<Result<readonly string[], Failure>>;

    /** Reads a file; undefined when it does not exist. */
    abstract read(name: string): Promise<Result<Uint8Array | undefined, Failure>>;

    /** Creates a file or replaces its whole content atomically. */
    abstract replace(name: string, bytes: Uint8Array): Promise<Result<void, Failure>>;

    /** Appends bytes to an existing file. */
    abstract append(name: string, bytes: Uint8Array): Promise<Result<void, Failure>>;

    /** Truncates a file to a length in bytes. */
    abstract truncate(name: string, length: number): Promise<Result<void, Failure>>;

    /** Removes a file, if it exists. */
    abstract remove(name: string): Promise<Result<void, Failure>>;

    /** Closes all open files. */
    abstract close(): Promise<void>;
}

import { randomBytes } from "node:crypto";
import type { UnixMilliseconds } from "../../util/clock.js";

/** Number of random bytes in the name of an incarnation, which is their hexadecimal form. */
const incarnationNameBytes = 8;

/** A lifetime of an entry: begins with a process start, or when the control processes have ended the previous one. */
export interface EntryIncarnation {
    /** Unique over all incarnations of all entries. */
    readonly name: string;
    readonly startedAt: UnixMilliseconds;
}

/** Creates an incarnation with a random name. */
export function createIncarnation(now: UnixMilliseconds): EntryIncarnation {
    return { name: randomBytes(incarnationNameBytes).toString("hex"), startedAt: now };
}

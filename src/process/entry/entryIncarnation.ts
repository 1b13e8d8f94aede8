import { randomBytes } from "node:crypto";
import type { UnixMilliseconds } from "../../util/clock.js";

/** Bytes of an incarnation's random name. */
const nameBytes = 8;

/** A process start of an entry, or its return after the control processes had declared it over. */
export interface EntryIncarnation {
    /** Unique over all entries and starts. */
    readonly name: string;
    readonly startedAt: UnixMilliseconds;
}

/** Makes a new incarnation. */
export function createIncarnation(now: UnixMilliseconds): EntryIncarnation {
    return { name: randomBytes(nameBytes).toString("hex"), startedAt: now };
}

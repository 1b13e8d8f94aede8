import type { Milliseconds } from "../util/clock.js";

/** Longest time for which a caller may leave its answer unread, in milliseconds. */
export const callerReadTimeout: Milliseconds = 30_000;

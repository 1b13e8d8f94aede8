import type { Milliseconds } from "../util/clock.js";

/** Maximum time that a caller may leave response data unread, in milliseconds. */
export const callerReadTimeout: Milliseconds = 30_000;

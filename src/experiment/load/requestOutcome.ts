import type { Milliseconds } from "../../util/clock.js";

/**
 * Outcome of a request of the load.
 *
 * - `whole`: The client received the complete response to its request.
 * - `wrong`: The response was marked as complete, but is incomplete or belongs to another request.
 * - `cut`: The response ended early, with or without an error, and the client can detect it.
 * - `notRun`, `run`, `unknown`: The request was refused or failed, with this execution outcome in the error.
 * - `unreachable`: The connection was refused.
 * - `timedOut`: The client's timeout elapsed.
 */
export type OutcomeKind = "whole" | "wrong" | "cut" | "notRun" | "run" | "unknown" | "unreachable" | "timedOut";

/** All kinds of outcomes, in the order of reports. */
export const outcomeKinds: readonly OutcomeKind[] = [
    "whole",
    "wrong",
    "cut",
    "notRun",
    "run",
    "unknown",
    "unreachable",
    "timedOut",
];

/** One request of the load with its outcome; a record of the JSON lines output. */
export interface RequestOutcome {
    readonly number: number;
    readonly team: string;
    readonly requestClass: string;
    /** Address of the entry that received the request. */
    readonly entry: string;
    /** Scheduled time, since the start of the run. */
    readonly dueAt: Milliseconds;
    readonly kind: OutcomeKind;
    /** HTTP status; undefined if no response began. */
    readonly status: number | undefined;
    /** Time from the scheduled time to the first token; undefined if no token arrived. */
    readonly firstToken: Milliseconds | undefined;
    /** Times between consecutive tokens. */
    readonly betweenTokens: readonly Milliseconds[];
    /** Time from the scheduled time to the end. */
    readonly total: Milliseconds;
    /** Whether the complete response arrived within the target. */
    readonly attained: boolean;
}

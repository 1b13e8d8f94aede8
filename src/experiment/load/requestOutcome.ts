import type { Milliseconds } from "../../util/clock.js";

/**
 * How a request of the load ended.
 *
 * - `whole`: the caller has the whole answer to its own request.
 * - `wrong`: the caller was told that the answer is whole, and it is not, or not its own.
 * - `cut`: the answer ended early, with or without an error, and the caller can tell.
 * - `notRun`, `run`, `unknown`: refused or failed with this word on the execution.
 * - `unreachable`: no connection; `timedOut`: the caller gave up.
 */
export type OutcomeKind = "whole" | "wrong" | "cut" | "notRun" | "run" | "unknown" | "unreachable" | "timedOut";

/** Every kind of outcome, in the order of reports. */
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

/** One request of the load and how it ended. */
export interface RequestOutcome {
    readonly number: number;
    readonly team: string;
    readonly requestClass: string;
    /** Address of the entry that was called. */
    readonly entry: string;
    /** When it was due, from the start of the run. */
    readonly dueAt: Milliseconds;
    readonly kind: OutcomeKind;
    /** HTTP status, where an answer began. */
    readonly status: number | undefined;
    /** From the due time to the first token; undefined where none came. */
    readonly firstToken: Milliseconds | undefined;
    /** Times between tokens. */
    readonly betweenTokens: readonly Milliseconds[];
    /** From the due time to the end. */
    readonly total: Milliseconds;
    /** Whether the whole answer came within the target. */
    readonly attained: boolean;
}

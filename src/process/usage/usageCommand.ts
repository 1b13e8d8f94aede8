import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";

/** How the requests of a usage record ended; `cut` means that only a part of the response reached the caller. */
export type UsageOutcome = "complete" | "cut" | "failed";

/** Quantities of one usage record or of a sum of records; all are non-negative integers. */
export interface UsageQuantities {
    readonly requests: number;
    readonly promptTokens: number;
    /** Prompt tokens that were in the engine's prefix cache; included in `promptTokens`. */
    readonly cachedTokens: number;
    readonly outputTokens: number;
    /** Time that endpoints spent on the requests, in milliseconds. */
    readonly endpointTime: Milliseconds;
    /** What the team pays, including the commission, in millionths of the currency unit. */
    readonly price: number;
    /** The router's commission, in millionths of the currency unit. */
    readonly cut: number;
}

/** Usage of one entry's requests of one team, class and outcome that finished within a short period. */
export interface UsageRecord extends UsageQuantities {
    /** Team that pays; empty on a route without authentication. */
    readonly team: string;
    readonly requestClass: string;
    readonly outcome: UsageOutcome;
    /** When the last of the requests ended, by the entry's wall clock. */
    readonly finishedAt: UnixMilliseconds;
}

/** Registers an incarnation of an entry, which identifies its usage records and claims. */
export interface BeginIncarnation {
    readonly kind: "beginIncarnation";
    readonly entry: string;
    /** Name that is unique over all incarnations of all entries. */
    readonly incarnation: string;
    readonly startedAt: UnixMilliseconds;
    readonly at: UnixMilliseconds;
}

/** Ends an incarnation of an entry: it can make no further claims, but its late records are still counted. */
export interface EndIncarnation {
    readonly kind: "endIncarnation";
    readonly incarnation: string;
    readonly at: UnixMilliseconds;
}

/** Delivers consecutive usage records of one incarnation. */
export interface RecordUsage {
    readonly kind: "recordUsage";
    readonly incarnation: string;
    /** Sequence number of the first record; numbers start at 1 and are consecutive within the incarnation. */
    readonly firstSequence: number;
    readonly records: readonly UsageRecord[];
    /** When the command was proposed, by the wall clock of the proposing control process. */
    readonly at: UnixMilliseconds;
}

/** Sets the length of usage windows, beginning after those in use. */
export interface SetUsageWindow {
    readonly kind: "setUsageWindow";
    readonly length: Milliseconds;
    readonly at: UnixMilliseconds;
}

/** Seals the oldest open window: its usage can no longer change. */
export interface SealWindow {
    readonly kind: "sealWindow";
    /** Start of the window; must be that of the oldest open one. */
    readonly window: UnixMilliseconds;
    readonly at: UnixMilliseconds;
}

/** Records that the platform has accepted the report of a sealed window. */
export interface UsageReported {
    readonly kind: "usageReported";
    readonly window: UnixMilliseconds;
    /** SHA-256 digest of the report that was sent, in lower-case hexadecimal. */
    readonly digest: string;
    readonly at: UnixMilliseconds;
}

/** A command to the usage ledger, which is a section of the replicated state. */
export type UsageCommand =
    | BeginIncarnation
    | EndIncarnation
    | RecordUsage
    | SetUsageWindow
    | SealWindow
    | UsageReported;

/** Outcome of a usage command; includes refusals, because all replicas must reach the same result. */
export type UsageCommandOutcome =
    /** The command has taken effect, now or earlier. */
    | { readonly kind: "accepted"; }
    /** All records up to sequence number `through` have been counted exactly once; the entry may discard them. */
    | { readonly kind: "recorded"; readonly through: number; }
    /** Records are missing; the entry must resend from sequence number `expected`. */
    | { readonly kind: "gap"; readonly expected: number; }
    /** The incarnation was never registered or has been removed; its records cannot be counted. */
    | { readonly kind: "incarnationUnknown"; }
    /** The incarnation started no later than a removed one; register again with a start later than `after`. */
    | { readonly kind: "startTooOld"; readonly after: UnixMilliseconds; }
    | { readonly kind: "sealed"; readonly window: UnixMilliseconds; readonly digest: string; }
    | { readonly kind: "refused"; readonly reason: UsageRefusalReason; };

/** Why a usage command was refused. */
export type UsageRefusalReason =
    | "malformedRecord"
    | "windowLengthInvalid"
    | "windowNotConfigured"
    | "windowNotOldest"
    | "windowNotOver"
    | "windowNotSealed"
    | "digestDiffers";

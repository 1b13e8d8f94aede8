import type { Milliseconds, UnixMilliseconds } from "../../util/clock.js";

/** How the requests of a usage record ended. */
export type UsageOutcome = "complete" | "cut" | "failed";

/** Quantities of one usage record or of the sum of several; every one is a non-negative integer. */
export interface UsageQuantities {
    readonly requests: number;
    readonly promptTokens: number;
    /** The part of the prompt tokens that the engine found in its cache. */
    readonly cachedTokens: number;
    readonly outputTokens: number;
    /** Time during which an endpoint worked on the requests, in milliseconds. */
    readonly endpointTime: Milliseconds;
    /** What the team pays, in millionths of the currency unit; it includes the cut. */
    readonly price: number;
    /** The part of the price that the router keeps, in millionths of the currency unit. */
    readonly cut: number;
}

/** What one entry measured for requests of one team and class that ended alike within a short span. */
export interface UsageRecord extends UsageQuantities {
    /** Team that pays; empty on a route that is open to all. */
    readonly team: string;
    readonly requestClass: string;
    readonly outcome: UsageOutcome;
    /** Wall-clock time of the entry when the last of the requests ended. */
    readonly finishedAt: UnixMilliseconds;
}

/** Registers a process start of an entry; its usage records and claims are known by this incarnation. */
export interface BeginIncarnation {
    readonly kind: "beginIncarnation";
    readonly entry: string;
    /** Unique over all process starts. */
    readonly incarnation: string;
    readonly startedAt: UnixMilliseconds;
    readonly at: UnixMilliseconds;
}

/** Declares a process start of an entry as over: it claims nothing more, but its late records still count. */
export interface EndIncarnation {
    readonly kind: "endIncarnation";
    readonly incarnation: string;
    readonly at: UnixMilliseconds;
}

/** Delivers consecutive usage records of one incarnation. */
export interface RecordUsage {
    readonly kind: "recordUsage";
    readonly incarnation: string;
    /** Sequence number of the first record, from 1 and without gaps within the incarnation. */
    readonly firstSequence: number;
    readonly records: readonly UsageRecord[];
    /** Wall-clock time of the control process that proposed the command. */
    readonly at: UnixMilliseconds;
}

/** Sets the length of the usage windows that follow those already open. */
export interface SetUsageWindow {
    readonly kind: "setUsageWindow";
    readonly length: Milliseconds;
    readonly at: UnixMilliseconds;
}

/** Fixes the figures of the oldest open window. */
export interface SealWindow {
    readonly kind: "sealWindow";
    /** Start of the window, which must be the oldest open one. */
    readonly window: UnixMilliseconds;
    readonly at: UnixMilliseconds;
}

/** Records that the platform has taken the report of a sealed window. */
export interface UsageReported {
    readonly kind: "usageReported";
    readonly window: UnixMilliseconds;
    /** Digest of the bytes that were sent. */
    readonly digest: string;
    readonly at: UnixMilliseconds;
}

/** A command to the usage section of the replicated state. */
export type UsageCommand =
    | BeginIncarnation
    | EndIncarnation
    | RecordUsage
    | SetUsageWindow
    | SealWindow
    | UsageReported;

/** What a usage command led to; refusals are outcomes too, because every replica must reach the same one. */
export type UsageOutcomeOfCommand =
    /** The command took effect, now or earlier. */
    | { readonly kind: "accepted"; }
    /** All records up to `through` have been counted exactly once; the entry may forget them. */
    | { readonly kind: "recorded"; readonly through: number; }
    /** Records are missing; the entry must resend from `expected`. */
    | { readonly kind: "gap"; readonly expected: number; }
    /** The incarnation was never registered, or is forgotten; its records can't be counted any more. */
    | { readonly kind: "incarnationUnknown"; }
    /** The start lies before that of a forgotten incarnation; register again with a start after `after`. */
    | { readonly kind: "startTooOld"; readonly after: UnixMilliseconds; }
    | { readonly kind: "sealed"; readonly window: UnixMilliseconds; readonly digest: string; }
    | { readonly kind: "refused"; readonly reason: UsageRefusalReason; };

/** Why a usage command had no effect. */
export type UsageRefusalReason =
    | "malformedRecord"
    | "windowLengthInvalid"
    | "windowNotConfigured"
    | "windowNotOldest"
    | "windowNotOver"
    | "windowNotSealed"
    | "digestDiffers";

import { z } from "zod";
import type { ClaimDecision } from "../process/claims/claimCommand.js";
import type { OwnerShare } from "../process/control/limitAllocator.js";
import type { PoolSummaryRow } from "../process/control/poolSummaryAggregator.js";
import type { UsageCommandOutcome } from "../process/usage/usageCommand.js";
import { bytesSchema } from "../util/bytesSchema.js";
import type { VersionedChange } from "../version/configurationChange.js";

/** Version of the protocol between entries and control processes. */
export const entryProtocolVersion = 1;

const count = z.int().min(0);
const shortText = z.string().max(256);

/** What an entry tells of itself with each permit request. */
export const entryStatusSchema = z.strictObject({
    draining: z.boolean(),
    runningRequests: count,
    waitingRequests: count,
}).readonly();

/** Usage records in one message at most. */
const maximumUsageRecords = 1000;

/** Pools whose summaries one message carries at most. */
const maximumPools = 64;

/** Integers in the summary of a pool at most. */
const maximumRowLength = 64;

/** Teams and keys whose demands one message carries at most. */
const maximumDemands = 200;

const poolRowSchema = z.strictObject({
    pool: shortText,
    row: z.array(count).max(maximumRowLength).readonly(),
}).readonly();

const ownerDemandSchema = z.strictObject({
    owner: shortText,
    requests: z.number().min(0),
    tokens: z.number().min(0),
    concurrent: z.number().min(0),
}).readonly();

const usageRecordSchema = z.strictObject({
    team: shortText,
    requestClass: shortText,
    outcome: z.enum(["complete", "cut", "failed"]),
    finishedAt: count,
    requests: count,
    promptTokens: count,
    cachedTokens: count,
    outputTokens: count,
    endpointTime: count,
    price: count,
    cut: count,
}).readonly();

/** Claims or results in one message at most. */
export const claimsPerMessage = 256;

const claimKey = { team: shortText, idempotencyKey: shortText, requestId: shortText };

const claimRequestSchema = z.strictObject({ ...claimKey, requestDigest: shortText, timeoutAt: count }).readonly();

const storedAnswerSchema = z.strictObject({ status: count, contentType: shortText, body: bytesSchema }).readonly();

const claimResultSchema = z.strictObject({
    ...claimKey,
    result: z.discriminatedUnion("kind", [
        z.strictObject({ kind: z.literal("answered"), answer: storedAnswerSchema }),
        z.strictObject({ kind: z.literal("answeredUnkept"), status: count }),
        z.strictObject({ kind: z.literal("notRun") }),
        z.strictObject({ kind: z.literal("unknown") }),
    ]),
}).readonly();

/** Messages from an entry to a control process. */
export const entryToControlSchema = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("hello"),
        protocol: z.int(),
        cluster: shortText,
        entry: shortText,
        /** Differs at each start of the entry's process. */
        incarnation: shortText,
        /** Wall-clock time at which the incarnation began, in Unix milliseconds. */
        startedAt: count,
        failureDomain: shortText,
        callerAddress: shortText,
        /** Where operators reach its metrics and state. */
        metricsAddress: shortText,
        /** Version of the configuration that the entry holds; 0 for none. */
        version: count,
    }),
    z.strictObject({
        kind: z.literal("permitRequest"),
        number: count,
        /** Version that is in force at the entry. */
        version: count,
        status: entryStatusSchema,
        /** Summaries of the entry's pools; absent in messages that only tell of a new version. */
        pools: z.array(poolRowSchema).max(maximumPools).readonly().optional(),
        /** Demands for limits since the last message that had some. */
        demands: z.array(ownerDemandSchema).max(maximumDemands).readonly().optional(),
    }),
    z.strictObject({
        kind: z.literal("usage"),
        incarnation: shortText,
        /** Sequence number of the first record, from 1 within the incarnation. */
        firstSequence: z.int().min(1),
        records: z.array(usageRecordSchema).max(maximumUsageRecords).readonly(),
    }),
    z.strictObject({
        kind: z.literal("claimBatch"),
        number: count,
        claims: z.array(claimRequestSchema).max(claimsPerMessage).readonly(),
    }),
    z.strictObject({
        kind: z.literal("claimResults"),
        number: count,
        results: z.array(claimResultSchema).max(claimsPerMessage).readonly(),
    }),
]);

/** What an entry tells of itself with each permit request. */
export type EntryStatus = z.output<typeof entryStatusSchema>;

/** A message from an entry to a control process. */
export type EntryToControl = z.output<typeof entryToControlSchema>;

/** An entry as callers and other entries see it. */
export interface EntryListing {
    readonly entry: string;
    readonly callerAddress: string;
    readonly failureDomain: string;
    readonly draining: boolean;
    /** Running and waiting requests. */
    readonly load: number;
}

/** A message from a control process to an entry; the entry trusts its control processes. */
export type ControlToEntry =
    /** The connection is refused; the code is a result code's number. */
    | { readonly kind: "refused"; readonly code: number; }
    /** This process is not the leader; the address is the leader's, where known. */
    | { readonly kind: "redirect"; readonly leaderAddress: string | undefined; }
    /** Bytes of an encoded `ConfigurationSnapshot`; the last part completes it. */
    | { readonly kind: "snapshotPart"; readonly bytes: Uint8Array; readonly last: boolean; }
    /** An operator asked this entry to stop gracefully. */
    | { readonly kind: "drain"; }
    /** The incarnation was declared over while it could not be reached; the entry goes on under a new one. */
    | { readonly kind: "incarnationEnded"; readonly incarnation: string; }
    /** What became of the usage records of a message. */
    | { readonly kind: "usageTaken"; readonly incarnation: string; readonly outcome: UsageCommandOutcome; }
    | { readonly kind: "changes"; readonly changes: readonly VersionedChange[]; }
    | {
        readonly kind: "permit";
        readonly number: number;
        /** The entry may serve only with this version or a later one. */
        readonly version: number;
        /** Length of the permit, counted from when its request was sent. */
        readonly validMilliseconds: number;
        /** Present when the list has changed since the last permit on this connection. */
        readonly entries: readonly EntryListing[] | undefined;
        /** Sums of all entries' summaries, this one's included. */
        readonly pools?: readonly PoolSummaryRow[] | undefined;
        /** This entry's parts of the limits for which it told a demand. */
        readonly limitParts?: readonly OwnerShare[] | undefined;
    }
    /** What a claim batch led to, in its order; undefined where this could not be confirmed. */
    | {
        readonly kind: "claimDecisions";
        readonly number: number;
        readonly decisions: readonly ClaimDecision[] | undefined;
    }
    /** Whether the results of claims were committed; those that were not must be sent again. */
    | { readonly kind: "claimResultsTaken"; readonly number: number; readonly taken: boolean; };

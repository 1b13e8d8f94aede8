import { z } from "zod";
import type { ClaimDecision } from "../process/claims/claimCommand.js";
import type { HeldRequest } from "../process/control/crashedRequestLedger.js";
import type { OwnerShare } from "../process/control/limitAllocator.js";
import type { PoolSummaryRow } from "../process/control/poolSummaryAggregator.js";
import type { UsageCommandOutcome } from "../process/usage/usageCommand.js";
import { bytesSchema } from "../util/bytesSchema.js";
import type { VersionedChange } from "../version/configurationChange.js";

/** Version of the protocol between entries and control processes. */
export const entryProtocolVersion = 1;

const countSchema = z.int().min(0);
const shortTextSchema = z.string().max(256);

/** Status that an entry reports with each permit request. */
export const entryStatusSchema = z.strictObject({
    draining: z.boolean(),
    runningRequests: countSchema,
    waitingRequests: countSchema,
}).readonly();

/** Maximum number of usage records in one message. */
const maximumUsageRecordsPerMessage = 1000;

/** Maximum number of pool summaries in one message. */
const maximumPoolRowsPerMessage = 64;

/** Maximum number of integers in the summary of a pool. */
const maximumRowLength = 64;

/** Maximum number of teams and keys whose demands one message contains. */
const maximumDemandsPerMessage = 200;

/** Maximum number of crashes, and of sound requests, in one message. */
const maximumCrashReportLength = 1_024;

const crashReportSchema = z.strictObject({
    crashes: z.array(z.strictObject({ endpoint: shortTextSchema, digest: shortTextSchema }))
        .max(maximumCrashReportLength).readonly(),
    sound: z.array(shortTextSchema).max(maximumCrashReportLength).readonly(),
}).readonly();

const poolRowSchema = z.strictObject({
    pool: shortTextSchema,
    row: z.array(countSchema).max(maximumRowLength).readonly(),
}).readonly();

const ownerDemandSchema = z.strictObject({
    owner: shortTextSchema,
    requests: z.number().min(0),
    tokens: z.number().min(0),
    concurrent: z.number().min(0),
}).readonly();

const usageRecordSchema = z.strictObject({
    team: shortTextSchema,
    requestClass: shortTextSchema,
    outcome: z.enum(["complete", "cut", "failed"]),
    finishedAt: countSchema,
    requests: countSchema,
    promptTokens: countSchema,
    cachedTokens: countSchema,
    outputTokens: countSchema,
    endpointTime: countSchema,
    price: countSchema,
    cut: countSchema,
}).readonly();

/** Maximum number of claims or results in one message. */
export const maximumClaimsPerMessage = 256;

const claimKeyFields = { team: shortTextSchema, idempotencyKey: shortTextSchema, requestId: shortTextSchema };

const claimRequestSchema = z.strictObject({ ...claimKeyFields, requestDigest: shortTextSchema, timeoutAt: countSchema })
    .readonly();

const storedResponseSchema = z.strictObject({ status: countSchema, contentType: shortTextSchema, body: bytesSchema })
    .readonly();

const claimResultSchema = z.strictObject({
    ...claimKeyFields,
    result: z.discriminatedUnion("kind", [
        z.strictObject({ kind: z.literal("answered"), answer: storedResponseSchema }),
        z.strictObject({ kind: z.literal("answeredUnkept"), status: countSchema }),
        z.strictObject({ kind: z.literal("notRun") }),
        z.strictObject({ kind: z.literal("unknown") }),
    ]),
}).readonly();

/** Messages from an entry to a control process. */
export const entryToControlSchema = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("hello"),
        protocol: z.int(),
        cluster: shortTextSchema,
        entry: shortTextSchema,
        /** Name of the entry's current incarnation; differs at each start of its process. */
        incarnation: shortTextSchema,
        /** Wall-clock time at which the incarnation began, in Unix milliseconds. */
        startedAt: countSchema,
        failureDomain: shortTextSchema,
        callerAddress: shortTextSchema,
        /** Address at which operators read the entry's metrics and state. */
        metricsAddress: shortTextSchema,
        /** Version of the configuration that the entry has; 0 if it has none. */
        version: countSchema,
    }),
    z.strictObject({
        kind: z.literal("permitRequest"),
        number: countSchema,
        /** Version of the active configuration of the entry. */
        version: countSchema,
        status: entryStatusSchema,
        /** Summaries of the entry's pools; absent in messages that only report a new version. */
        pools: z.array(poolRowSchema).max(maximumPoolRowsPerMessage).readonly().optional(),
        /** Demand of teams and keys with limits since the last message that contained any. */
        demands: z.array(ownerDemandSchema).max(maximumDemandsPerMessage).readonly().optional(),
        /** What the entry learnt about requests that crash endpoints; only if the control process understands it. */
        crashReport: crashReportSchema.optional(),
    }),
    z.strictObject({
        kind: z.literal("usage"),
        incarnation: shortTextSchema,
        /** Sequence number of the first record, from 1 within the incarnation. */
        firstSequence: z.int().min(1),
        records: z.array(usageRecordSchema).max(maximumUsageRecordsPerMessage).readonly(),
    }),
    z.strictObject({
        kind: z.literal("claimBatch"),
        number: countSchema,
        claims: z.array(claimRequestSchema).max(maximumClaimsPerMessage).readonly(),
    }),
    z.strictObject({
        kind: z.literal("claimResults"),
        number: countSchema,
        results: z.array(claimResultSchema).max(maximumClaimsPerMessage).readonly(),
    }),
]);

/** Status that an entry reports with each permit request. */
export type EntryStatus = z.output<typeof entryStatusSchema>;

/** A message from an entry to a control process. */
export type EntryToControl = z.output<typeof entryToControlSchema>;

/** Public description of an entry, for callers and other entries. */
export interface EntryListing {
    readonly entry: string;
    readonly callerAddress: string;
    readonly failureDomain: string;
    readonly draining: boolean;
    /** Number of running and waiting requests. */
    readonly load: number;
}

/** A message from a control process to an entry, which trusts its control processes. */
export type ControlToEntry =
    /** The control process refuses the connection; `code` is the number of a result code. */
    | { readonly kind: "refused"; readonly code: number; }
    /** This process is not the leader; `leaderAddress` is the address of the leader, if known. */
    | { readonly kind: "redirect"; readonly leaderAddress: string | undefined; }
    /** Part of an encoded `ConfigurationSnapshot`; `last` marks the final part. */
    | { readonly kind: "snapshotPart"; readonly bytes: Uint8Array; readonly last: boolean; }
    /** An operator requested that this entry stop gracefully. */
    | { readonly kind: "drain"; }
    /** The incarnation was declared ended while the entry was unreachable; the entry continues under a new one. */
    | { readonly kind: "incarnationEnded"; readonly incarnation: string; }
    /** The outcome of a message with usage records. */
    | { readonly kind: "usageTaken"; readonly incarnation: string; readonly outcome: UsageCommandOutcome; }
    | { readonly kind: "changes"; readonly changes: readonly VersionedChange[]; }
    | {
        readonly kind: "permit";
        readonly number: number;
        /** The entry may serve requests only with this version of the configuration or a later one. */
        readonly version: number;
        /** Duration of the permit, counted from the time at which its request was sent. */
        readonly validMilliseconds: number;
        /** Present if the list has changed since the last permit on this connection. */
        readonly entries: readonly EntryListing[] | undefined;
        /** Sums of the summaries of all entries, including this one. */
        readonly pools?: readonly PoolSummaryRow[] | undefined;
        /** This entry's shares of the limits for which it reported a demand. */
        readonly limitParts?: readonly OwnerShare[] | undefined;
        /** Requests that are held back because they crash endpoints; absent if the sender is of an older version. */
        readonly heldRequests?: readonly HeldRequest[];
    }
    /** Decisions for the claims of a batch, in its order; undefined if they could not be confirmed. */
    | {
        readonly kind: "claimDecisions";
        readonly number: number;
        readonly decisions: readonly ClaimDecision[] | undefined;
    }
    /** Whether the results of claims were committed; if not, the entry must send them again. */
    | { readonly kind: "claimResultsTaken"; readonly number: number; readonly taken: boolean; };

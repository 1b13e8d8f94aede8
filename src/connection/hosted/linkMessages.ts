import { z } from "zod";
import { bytesSchema } from "../../util/bytesSchema.js";
import {
    evidenceSchema,
    holdsSchema,
    suspectsSchema,
    trialRequestSchema,
    trialResponseSchema,
} from "./quarantineMessages.js";
import {
    enforcedLimitSchema,
    grantRequestSchema,
    grantResponseSchema,
    limitStatementSchema,
} from "./rateLimitMessages.js";
import { retryReportSchema, retryRequestSchema, retryResponseSchema } from "./retryMessages.js";
import { streamOriginRequestSchema, streamOriginResponseSchema, streamsStartedSchema } from "./streamMessages.js";

/** Version of the link protocol, spoken between entries and control processes and among control processes. */
export const linkProtocolVersion = 2;

/** Offset from the first internal port to the port on which control processes accept links. */
export const controlLinkPortOffset = 1;

/** Offset from the first internal port to the port on which entries accept calls of other entries. */
export const relayPortOffset = 2;

/** Offset from the first internal port to the port on which control processes accept peers of the replicated log. */
export const peerPortOffset = 0;

const countSchema = z.int().min(0);
const shortTextSchema = z.string().max(256);

/** Number of calls that started to run, by usage window and team. */
const usageSchema = z.record(shortTextSchema, z.record(shortTextSchema, countSchema));

/** Engine time used by calls, by service, in milliseconds per second; separate for long prompts and all other calls. */
const workSchema = z.record(
    shortTextSchema,
    z.object({ long: z.number().min(0), other: z.number().min(0) }).readonly(),
);

/** Engine time used by calls, by service, in milliseconds per second. */
export type ServiceWork = Readonly<z.output<typeof workSchema>>;

/** An entry that sends calls to endpoints for entries that are cut off from these. */
const relayOfferSchema = z.object({
    entry: shortTextSchema,
    /** Host and port. */
    address: shortTextSchema,
    /** Must accompany each call. */
    token: shortTextSchema,
}).readonly();

/** An entry that sends calls to endpoints for others. */
export type RelayOffer = z.output<typeof relayOfferSchema>;

/** The newest list of endpoints of a control process. */
const listStateSchema = z.object({
    /** Number of the list, as sent before on this link. */
    revision: countSchema,
    /** Time since the platform was asked for the list at the longest, in milliseconds. */
    age: z.number(),
    /** How much less the age may be, in milliseconds. */
    uncertainty: z.number().min(0).optional(),
}).readonly();

/** The newest list of endpoints of a control process. */
export type ListState = z.output<typeof listStateSchema>;

/** Messages to a control process from entries, and from other control processes that observe its entries. */
export const entryMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("hello"),
        protocol: z.int(),
        entry: shortTextSchema,
        /** Unique identifier of one run of the entry's process. */
        incarnation: shortTextSchema,
        failureDomain: shortTextSchema,
        callerAddress: shortTextSchema,
        /** Version of the entry's configuration; 0 if it has none. */
        version: countSchema,
        /** Whether the entry understands which calls are held back. */
        understandsHolds: z.boolean().optional(),
        /** Whether the entry understands changes of the list of endpoints. */
        understandsEndpointChanges: z.boolean().optional(),
    }),
    z.object({
        kind: z.literal("beat"),
        number: countSchema,
        /** The entry's wall-clock time, in Unix milliseconds. */
        unixTime: z.number(),
        version: countSchema,
        /** Whether the entry may be returned to callers by resolution. */
        isReady: z.boolean(),
        /**
         * Time until the next heartbeat, in milliseconds; 0 in the first heartbeat of a link, because the next one
         * follows immediately.
         */
        interval: z.number().min(0),
        /** Whether the control process shall confirm the newest configuration version with a quorum. */
        wantsPermit: z.boolean(),
        work: workSchema,
        /** Cumulative counts of the windows that have changed since the previous heartbeat on this link. */
        usage: usageSchema.optional(),
        /** Statements about limits of endpoints since the previous heartbeat on this link. */
        limits: z.array(limitStatementSchema).readonly().optional(),
        /** Calls and retries in the window of the retry budget; absent if there are none. */
        retries: retryReportSchema.optional(),
        /** How other entries can have calls relayed by this one; absent while it is cut off from endpoints itself. */
        relay: z.object({ address: shortTextSchema, token: shortTextSchema }).readonly().optional(),
        /** Whether the entry is cut off from endpoints and needs others to relay its calls. */
        needsRelays: z.boolean().optional(),
    }),
    grantRequestSchema,
    retryRequestSchema,
    evidenceSchema,
    trialRequestSchema,
    streamsStartedSchema,
    streamOriginRequestSchema,
    z.object({
        /**
         * Subscribes a control process to the entries that are linked to the receiver; sent again to ask for the state of
         * the receiver's list of endpoints.
         */
        kind: z.literal("observe"),
        protocol: z.int(),
        control: shortTextSchema,
        /** Number of the message; absent if the sender does not understand lists of endpoints. */
        number: countSchema.optional(),
    }),
]);

/** A message from an entry to a control process. */
export type EntryMessage = z.output<typeof entryMessageSchema>;

/** The first message of an entry. */
export type EntryHello = Extract<EntryMessage, { kind: "hello"; }>;

/** Periodic heartbeat of an entry. */
export type EntryHeartbeat = Extract<EntryMessage, { kind: "beat"; }>;

/** State of an entry at the control process that it is linked to. */
const presentEntrySchema = z.object({
    entry: shortTextSchema,
    /** Unique identifier of one run of the entry's process. */
    incarnation: shortTextSchema,
    failureDomain: shortTextSchema,
    callerAddress: shortTextSchema,
    isReady: z.boolean(),
    /** Time until the entry expires if no heartbeat arrives, in milliseconds. */
    remaining: z.number(),
}).readonly();

/** State of an entry as another control process reports it. */
export type PresentEntry = z.output<typeof presentEntrySchema>;

const endpointSchema = z.object({
    id: z.string(),
    service: z.string(),
    address: z.string(),
    failureDomain: z.string(),
    slots: z.number(),
    isLeaving: z.boolean(),
    /** Remaining time for which the endpoint is slow after its start, in milliseconds. */
    warmUpTime: z.number(),
    /** Start time, in Unix milliseconds. */
    startedAt: z.number().optional(),
    softwareVersion: z.string().optional(),
    isSpot: z.boolean(),
}).readonly();

/** Messages from a control process to an entry. */
export const controlMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("configuration"),
        version: countSchema,
        /** The operator's configuration document, compressed with raw DEFLATE. */
        body: bytesSchema,
    }),
    z.object({
        kind: z.literal("beatAnswer"),
        number: countSchema,
        /** The control process's wall-clock time, in Unix milliseconds. */
        unixTime: z.number(),
        /** Newest version as of the sending of the heartbeat, confirmed by a quorum; absent if none was confirmed. */
        confirmedVersion: countSchema.optional(),
        isLeader: z.boolean(),
        /** Hosts of all control processes. */
        controlHosts: z.array(shortTextSchema).max(64).readonly(),
        /** Host of the leader; absent if none is known. */
        leaderHost: shortTextSchema.optional(),
        /** Number of entries that are serving. */
        entryCount: countSchema,
        /** Totals over all entries. */
        work: workSchema,
        /**
         * Endpoints whose rate is limited, if the sender is the leader; absent if the sender cannot answer requests for
         * grants.
         */
        limits: z.array(enforcedLimitSchema).readonly().optional(),
        /** Entries that relay calls; present if the entry needs them. */
        relays: z.array(relayOfferSchema).readonly().optional(),
        /** Whether the sender keeps the origins of streams. */
        keepsStreamOrigins: z.boolean().optional(),
        /** Whether the sender answers requests for retries. */
        grantsRetries: z.boolean().optional(),
        /** The newest list of endpoints that the sender has read; absent if it has none. */
        endpointList: listStateSchema.optional(),
    }),
    grantResponseSchema,
    retryResponseSchema,
    holdsSchema,
    suspectsSchema,
    trialResponseSchema,
    streamOriginResponseSchema,
    z.object({
        kind: z.literal("endpoints"),
        /** Time since the list was read from the platform, in milliseconds; the list may be stale. */
        age: z.number(),
        /** How much less the age may be, in milliseconds. */
        uncertainty: z.number().min(0).optional(),
        endpoints: z.array(endpointSchema).readonly(),
        /** Number of the list, to which further changes refer; absent if none follow. */
        revision: countSchema.optional(),
    }),
    z.object({
        kind: z.literal("endpointChanges"),
        /** Time since the list was read from the platform, in milliseconds; the list may be stale. */
        age: z.number(),
        /** How much less the age may be, in milliseconds. */
        uncertainty: z.number().min(0).optional(),
        /** Number of the list after the changes; they refer to the list with the number before. */
        revision: countSchema,
        changed: z.array(endpointSchema).readonly(),
        /** Incarnation keys. */
        removed: z.array(z.string()).readonly(),
    }),
    z.object({
        /** The entries that are linked to the sender; sent only to other control processes. */
        kind: z.literal("presence"),
        entries: z.array(presentEntrySchema).readonly(),
    }),
    z.object({
        /** Answers a numbered message of another control process; sent only to these. */
        kind: z.literal("listState"),
        /** Number of the message. */
        number: countSchema,
        /** The newest list that the sender has read itself; absent if it has none. */
        endpointList: listStateSchema.optional(),
    }),
]);

/** A message from a control process to an entry. */
export type ControlMessage = z.output<typeof controlMessageSchema>;

/** The response to a heartbeat. */
export type HeartbeatResponse = Extract<ControlMessage, { kind: "beatAnswer"; }>;

/** The response to a request for the origin of a stream. */
export type StreamOriginResponse = Extract<ControlMessage, { kind: "streamOrigin"; }>;

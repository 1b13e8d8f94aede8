import { z } from "zod";
import { logEntrySchema } from "../process/replicatedLog/logEntry.js";
import { bytesSchema } from "../util/bytesSchema.js";

/** Version of the protocol between control processes. */
export const peerProtocolVersion = 1;

const term = z.int().nonnegative();
const position = z.int().nonnegative();
const memberId = z.string().max(64);

/** Fields of every request: the log group, its sender, and the identity that it is meant for. */
const envelope = { group: z.string().max(64), from: memberId, to: memberId };

/** The positions that the leader of a term knows to be durable at each member. */
const acknowledgedSchema = z.record(memberId, position);

const ballot = { ...envelope, term, lastPosition: position, lastTerm: term };

/** Schema of {@link PeerRequest}. */
export const peerRequestSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("preVote"), ...ballot }),
    z.object({ kind: z.literal("vote"), ...ballot, transfer: z.boolean() }),
    z.object({
        kind: z.literal("append"),
        ...envelope,
        term,
        previousPosition: position,
        previousTerm: term,
        entries: z.array(logEntrySchema).readonly(),
        commitPosition: position,
    }),
    z.object({
        kind: z.literal("heartbeat"),
        ...envelope,
        term,
        commitPosition: position,
        commitTerm: term.describe("Term of the entry at the commit position: a log that has it may commit up to it."),
        acknowledged: acknowledgedSchema,
    }),
    z.object({
        kind: z.literal("snapshotChunk"),
        ...envelope,
        term,
        snapshotPosition: position,
        offset: z.int().nonnegative(),
        totalBytes: z.int().nonnegative(),
        bytes: bytesSchema,
    }),
    z.object({ kind: z.literal("takeLead"), ...envelope, term }),
    z.object({ kind: z.literal("confirm"), ...envelope }),
    z.object({ kind: z.literal("describe"), ...envelope }),
    z.object({ kind: z.literal("join"), ...envelope, address: z.string(), operatorAddress: z.string() }),
]);

/** A request from one control process to another. */
export type PeerRequest = Readonly<z.infer<typeof peerRequestSchema>>;

/** The request of one kind. */
export type PeerRequestOf<Kind extends PeerRequest["kind"]> = Extract<PeerRequest, { readonly kind: Kind; }>;

/** Schema of {@link PeerResponse}. */
export const peerResponseSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("refused"), reason: z.enum(["wrongMember", "unknownGroup", "starting", "halted"]) }),
    z.object({ kind: z.literal("vote"), term, granted: z.boolean() }),
    z.object({
        kind: z.literal("append"),
        term,
        accepted: z.boolean(),
        position: position.describe("Durable up to here if accepted; otherwise the leader may try behind here."),
    }),
    z.object({ kind: z.literal("heartbeat"), term, accepted: z.boolean() }),
    z.object({
        kind: z.literal("snapshotChunk"),
        term,
        nextOffset: z.int().nonnegative(),
        installed: z.boolean(),
    }),
    z.object({ kind: z.literal("takeLead"), accepted: z.boolean() }),
    z.object({ kind: z.literal("confirm"), position: position.optional() }),
    z.object({
        kind: z.literal("describe"),
        memberId,
        operatorAddress: z.string(),
        formed: z.boolean(),
        expectedAddresses: z.array(z.string()).readonly(),
        leaderAddress: z.string().optional(),
        acknowledged: z.object({ term, position }).optional()
            .describe("What the answering member knows that the asking one made durable."),
    }),
    z.object({ kind: z.literal("join"), accepted: z.boolean() }),
]);

/** The answer to a {@link PeerRequest}. */
export type PeerResponse = Readonly<z.infer<typeof peerResponseSchema>>;

/** The response of one kind. */
export type PeerResponseOf<Kind extends PeerResponse["kind"]> = Extract<PeerResponse, { readonly kind: Kind; }>;

/** Schema of {@link PeerFrame}. */
export const peerFrameSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("hello"),
        protocol: z.int(),
        cluster: z.string().max(128),
        memberId,
    }),
    z.object({ kind: z.literal("goodbye"), code: z.string().max(64) }),
    z.object({ kind: z.literal("request"), id: z.int(), request: peerRequestSchema }),
    z.object({ kind: z.literal("response"), id: z.int(), response: peerResponseSchema }),
]);

/** One message on a connection between control processes. */
export type PeerFrame = Readonly<z.infer<typeof peerFrameSchema>>;

import { z } from "zod";
import { logEntrySchema } from "../process/replicatedLog/logEntry.js";
import { bytesSchema } from "../util/bytesSchema.js";

/** Version of the protocol between control processes. */
export const peerProtocolVersion = 1;

const term = z.int().nonnegative();
const position = z.int().nonnegative();
const memberId = z.string().max(64);

/** Fields of every request: the log group and the member IDs of the sender and the intended receiver. */
const envelopeFields = { group: z.string().max(64), from: memberId, to: memberId };

/** For each member, the position that the leader of the term knows to be durable at the member. */
const acknowledgedPositionsSchema = z.record(memberId, position);

const ballotFields = { ...envelopeFields, term, lastPosition: position, lastTerm: term };

/** Schema of {@link PeerRequest}. */
export const peerRequestSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("preVote"), ...ballotFields }),
    z.object({ kind: z.literal("vote"), ...ballotFields, transfer: z.boolean() }),
    z.object({
        kind: z.literal("append"),
        ...envelopeFields,
        term,
        previousPosition: position,
        previousTerm: term,
        entries: z.array(logEntrySchema).readonly(),
        commitPosition: position,
    }),
    z.object({
        kind: z.literal("heartbeat"),
        ...envelopeFields,
        term,
        commitPosition: position,
        commitTerm: term.describe(
            "Term of the entry at the commit position; a log that contains this entry may commit up to it.",
        ),
        acknowledged: acknowledgedPositionsSchema,
    }),
    z.object({
        kind: z.literal("snapshotChunk"),
        ...envelopeFields,
        term,
        snapshotPosition: position,
        offset: z.int().nonnegative(),
        totalBytes: z.int().nonnegative(),
        bytes: bytesSchema,
    }),
    z.object({ kind: z.literal("takeLead"), ...envelopeFields, term }),
    z.object({ kind: z.literal("confirm"), ...envelopeFields }),
    z.object({ kind: z.literal("describe"), ...envelopeFields }),
    z.object({ kind: z.literal("join"), ...envelopeFields, address: z.string(), operatorAddress: z.string() }),
]);

/** A request from one control process to another. */
export type PeerRequest = Readonly<z.infer<typeof peerRequestSchema>>;

/** The type of the requests of one kind. */
export type PeerRequestOf<Kind extends PeerRequest["kind"]> = Extract<PeerRequest, { readonly kind: Kind; }>;

/** Schema of {@link PeerResponse}. */
export const peerResponseSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("refused"), reason: z.enum(["wrongMember", "unknownGroup", "starting", "halted"]) }),
    z.object({ kind: z.literal("vote"), term, granted: z.boolean() }),
    z.object({
        kind: z.literal("append"),
        term,
        accepted: z.boolean(),
        position: position.describe(
            "Last durable position if accepted; otherwise, the position after which the leader may try again.",
        ),
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
            .describe("Term and position that the responding member knows to be durable at the requesting member."),
    }),
    z.object({ kind: z.literal("join"), accepted: z.boolean() }),
]);

/** The response to a {@link PeerRequest}. */
export type PeerResponse = Readonly<z.infer<typeof peerResponseSchema>>;

/** The type of the responses of one kind. */
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

import { z } from "zod";

const nameSchema = z.string().max(256);

/** Maximum number of streams in one message. */
export const maximumStreamsPerMessage = 2_048;

const originSchema = z.object({
    service: nameSchema,
    /** Absent if the platform does not state it. */
    softwareVersion: nameSchema.optional(),
}).readonly();

const startedStreamsSchema = z.object({
    /** Absent for calls without a key. */
    team: nameSchema.optional(),
    origin: originSchema,
    /** Time for which the streams may be continued, in milliseconds. */
    lifetime: z.number().min(0),
    /** Ids of the calls that began the streams. */
    callIds: z.array(nameSchema).max(maximumStreamsPerMessage).readonly(),
}).readonly();

/** Streams of one team with the same origin. */
export type StartedStreams = z.output<typeof startedStreamsSchema>;

/** Streams that began at an entry since its previous message on the link. */
export const streamsStartedSchema = z.object({
    kind: z.literal("streamsStarted"),
    streams: z.array(startedStreamsSchema).max(maximumStreamsPerMessage).readonly(),
});

/** Asks a control process for the origin of a stream. */
export const streamOriginRequestSchema = z.object({
    kind: z.literal("streamOriginRequest"),
    number: z.int().min(0),
    /** Absent for a call without a key. */
    team: nameSchema.optional(),
    callId: nameSchema,
});

/** A request for the origin of a stream. */
export type StreamOriginRequest = z.output<typeof streamOriginRequestSchema>;

/** The response to a request for the origin of a stream. */
export const streamOriginResponseSchema = z.object({
    kind: z.literal("streamOrigin"),
    number: z.int().min(0),
    /** Absent if the control process does not know the stream. */
    origin: originSchema.optional(),
});

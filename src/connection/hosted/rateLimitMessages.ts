import { z } from "zod";

const endpointIdSchema = z.string().max(256);

/** What an entry has read in an endpoint's response about the calls per second that it takes from all entries. */
export const limitStatementSchema = z.object({
    endpoint: endpointIdSchema,
    /** Whether a limit was stated. */
    isLimited: z.boolean(),
    /** Absent if no limit was stated, or an unknown one. */
    callsPerSecond: z.number().min(0).optional(),
    /** Time since the response arrived, in milliseconds. */
    age: z.number().min(0),
}).readonly();

/** A statement about the limit of an endpoint. */
export type LimitStatement = z.output<typeof limitStatementSchema>;

/** An endpoint whose rate of calls is limited, as the leader enforces it. */
export const enforcedLimitSchema = z.object({
    endpoint: endpointIdSchema,
    callsPerSecond: z.number().min(0),
    /** Time since a call to the endpoint was granted, in milliseconds; absent if none was. */
    idleTime: z.number().min(0).optional(),
}).readonly();

/** An endpoint whose rate of calls is limited, as the leader enforces it. */
export type EnforcedLimit = z.output<typeof enforcedLimitSchema>;

/** Message of an entry that asks the leader for one call to an endpoint whose rate is limited. */
export const grantRequestSchema = z.object({
    kind: z.literal("grantRequest"),
    number: z.int().min(0),
    endpoint: endpointIdSchema,
    /** Longest delay of the call that is acceptable, in milliseconds. */
    maximumDelay: z.number().min(0),
    /** The entry's newest statement, if it read one itself. */
    statement: limitStatementSchema.optional(),
});

/** A request for one call to an endpoint. */
export type GrantRequest = z.output<typeof grantRequestSchema>;

/** The response to a request for one call. */
export const grantResponseSchema = z.object({
    kind: z.literal("grant"),
    number: z.int().min(0),
    /** Whether the control process may decide: it is the leader and holds its lease. */
    isDecided: z.boolean(),
    isGranted: z.boolean(),
    /** Time until the call may be sent, or, if it was denied, until one could be granted, in milliseconds. */
    delay: z.number().min(0),
    /** Number of entries that lately asked for calls to the endpoint. */
    contenders: z.int().min(0),
});

/** The response to a request for one call. */
export type GrantResponse = z.output<typeof grantResponseSchema>;

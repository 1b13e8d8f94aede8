import { z } from "zod";

const commonFields = {
    times: z.int().positive().optional().describe("Number of times that the fault applies; unlimited when absent."),
    pathPrefix: z.string().startsWith("/").default("/").describe(
        "Prefix of the paths of the calls that the fault applies to.",
    ),
};

/** Schema of a fault that can be injected into a stand-in. */
export const faultSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("stall"), ...commonFields, alsoLoadReport: z.boolean().default(false) })
        .describe(
            "Calls are received but get no response, and engines generate no tokens, until the fault is cleared.",
        ),
    z.strictObject({ kind: z.literal("crash"), recoverAfterMilliseconds: z.int().min(0).optional() })
        .describe("All sockets are destroyed and new connections are refused."),
    z.strictObject({ kind: z.literal("breakStreams"), ...commonFields, afterTokens: z.int().min(0) })
        .describe("The socket of a streamed response is closed after a number of tokens."),
    z.strictObject({
        kind: z.literal("answerLate"),
        ...commonFields,
        milliseconds: z.int().min(0),
        when: z.enum(["before", "after"]).default("before"),
    })
        .describe("Calls are handled after a delay, or handled immediately and answered after the delay."),
    z.strictObject({ kind: z.literal("crossAnswers"), ...commonFields, replace: z.boolean().default(false) })
        .describe(
            "A stream contains a chunk of another request, with that request's id, before or instead of its own chunk.",
        ),
    z.strictObject({ kind: z.literal("duplicateToken"), ...commonFields, tokenNumber: z.int().min(0) })
        .describe("A token is sent twice with the same number."),
    z.strictObject({ kind: z.literal("skipToken"), ...commonFields, tokenNumber: z.int().min(0) })
        .describe("A token is omitted."),
    z.strictObject({ kind: z.literal("loseAnswers"), ...commonFields })
        .describe("Calls are executed completely, and the connection is closed before the response is sent."),
    z.strictObject({ kind: z.literal("refuseLeaving"), ...commonFields })
        .describe("Work is rejected with the headers `x-leaving` and `x-not-run`."),
    z.strictObject({ kind: z.literal("straggle"), factor: z.number().min(1) })
        .describe("Work takes longer by a factor, but the load report does not show it."),
]);

/** A fault that can be injected into a stand-in. */
export type Fault = z.output<typeof faultSchema>;

/** A fault before validation; fields with defaults are optional. */
export type FaultInput = z.input<typeof faultSchema>;

/** Identifies a kind of fault. */
export type FaultKind = Fault["kind"];

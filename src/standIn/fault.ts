import { z } from "zod";

const common = {
    times: z.int().positive().optional().describe("How often it strikes; without limit when absent."),
    pathPrefix: z.string().startsWith("/").default("/").describe("Paths of the calls that it strikes."),
};

/** Schema of a fault that a stand-in can be told to show. */
export const faultSchema = z.discriminatedUnion("kind", [
    z.strictObject({ kind: z.literal("stall"), ...common, alsoLoadReport: z.boolean().default(false) })
        .describe("Calls are received and not answered, and engines make no tokens, until the fault is lifted."),
    z.strictObject({ kind: z.literal("crash"), recoverAfterMilliseconds: z.int().min(0).optional() })
        .describe("All sockets are destroyed and new connections are refused."),
    z.strictObject({ kind: z.literal("breakStreams"), ...common, afterTokens: z.int().min(0) })
        .describe("The socket of a streamed answer is destroyed after a number of tokens."),
    z.strictObject({
        kind: z.literal("answerLate"),
        ...common,
        milliseconds: z.int().min(0),
        when: z.enum(["before", "after"]).default("before"),
    })
        .describe("Calls are handled after a delay, or handled at once and answered after it."),
    z.strictObject({ kind: z.literal("crossAnswers"), ...common, replace: z.boolean().default(false) })
        .describe("A stream carries a chunk of another request with that request's id, beside or in place of its own."),
    z.strictObject({ kind: z.literal("duplicateToken"), ...common, tokenNumber: z.int().min(0) })
        .describe("A token is sent twice under the same number."),
    z.strictObject({ kind: z.literal("skipToken"), ...common, tokenNumber: z.int().min(0) })
        .describe("A token is left out."),
    z.strictObject({ kind: z.literal("loseAnswers"), ...common })
        .describe("Calls are executed in full, and the connection is dropped before the answer."),
    z.strictObject({ kind: z.literal("refuseLeaving"), ...common })
        .describe("Work is refused with `x-leaving` and `x-not-run`."),
    z.strictObject({ kind: z.literal("straggle"), factor: z.number().min(1) })
        .describe("Work takes longer by a factor, while the load report stays healthy."),
]);

/** A fault that a stand-in can be told to show. */
export type Fault = z.output<typeof faultSchema>;

/** A fault as callers write it, with defaults left out. */
export type FaultInput = z.input<typeof faultSchema>;

/** Name of a fault. */
export type FaultKind = Fault["kind"];

import { z } from "zod";
import { bytesSchema } from "../util/bytesSchema.js";

const count = z.int().min(0);

const listing = z.object({
    entry: z.string(),
    callerAddress: z.string(),
    failureDomain: z.string(),
    draining: z.boolean(),
    load: count,
});

/**
 * The form of a `ControlToEntry` message as far as an entry must know it to handle the message without a fault. What a
 * change contains is not checked: the entry trusts its control processes.
 */
export const controlToEntrySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("refused"), code: z.int() }),
    z.object({ kind: z.literal("redirect"), leaderAddress: z.string().optional() }),
    z.object({ kind: z.literal("snapshotPart"), bytes: bytesSchema, last: z.boolean() }),
    z.object({ kind: z.literal("drain") }),
    z.object({ kind: z.literal("incarnationEnded"), incarnation: z.string() }),
    z.object({
        kind: z.literal("usageTaken"),
        incarnation: z.string(),
        outcome: z.looseObject({ kind: z.string() }),
    }),
    z.object({
        kind: z.literal("changes"),
        changes: z.array(z.looseObject({ version: count, change: z.looseObject({ kind: z.string() }) })),
    }),
    z.object({
        kind: z.literal("permit"),
        number: count,
        version: count,
        validMilliseconds: z.number().min(0),
        entries: z.array(listing).optional(),
    }),
    z.object({ kind: z.literal("claimDecisions"), number: count, decisions: z.array(z.unknown()).optional() }),
    z.object({ kind: z.literal("claimResultsTaken"), number: count, taken: z.boolean() }),
]);

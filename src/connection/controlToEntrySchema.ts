import { z } from "zod";
import { bytesSchema } from "../util/bytesSchema.js";

const countSchema = z.int().min(0);

const entryListingSchema = z.object({
    entry: z.string(),
    callerAddress: z.string(),
    failureDomain: z.string(),
    draining: z.boolean(),
    load: countSchema,
});

/**
 * Schema of a `ControlToEntry` message. Validates only what an entry needs to handle the message without an exception;
 * the contents of changes are not validated, since the entry trusts its control processes.
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
        changes: z.array(z.looseObject({ version: countSchema, change: z.looseObject({ kind: z.string() }) })),
    }),
    z.object({
        kind: z.literal("permit"),
        number: countSchema,
        version: countSchema,
        validMilliseconds: z.number().min(0),
        entries: z.array(entryListingSchema).optional(),
        heldRequests: z.array(z.object({ digest: z.string(), remaining: z.number() })).optional(),
    }),
    z.object({ kind: z.literal("claimDecisions"), number: countSchema, decisions: z.array(z.unknown()).optional() }),
    z.object({ kind: z.literal("claimResultsTaken"), number: countSchema, taken: z.boolean() }),
]);

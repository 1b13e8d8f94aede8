import { z } from "zod";

/** What the soak tells a program: the faults that only the program itself can show. */
export const vmOrderSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("clock"), offset: z.number() }),
    z.object({ kind: z.literal("disk"), condition: z.enum(["sound", "slow", "stalled", "full"]) }),
]);

/** An order of the soak to a program. */
export type VmOrder = z.output<typeof vmOrderSchema>;

import { z } from "zod";

/** Commands from the soak to a process for faults that can only be injected inside the process. */
export const vmCommandSchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("clock"), offset: z.number() }),
    z.object({ kind: z.literal("disk"), condition: z.enum(["sound", "slow", "stalled", "full"]) }),
]);

/** A command from the soak to a process. */
export type VmCommand = z.output<typeof vmCommandSchema>;

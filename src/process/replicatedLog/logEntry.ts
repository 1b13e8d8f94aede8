import { z } from "zod";
import { bytesSchema } from "../../util/bytesSchema.js";
import { membershipSchema } from "./membership.js";

const positionFields = { position: z.int().positive(), term: z.int().nonnegative() };

/** Schema of {@link LogEntry}. */
export const logEntrySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("noOp"), ...positionFields }),
    z.object({ kind: z.literal("command"), ...positionFields, command: bytesSchema }),
    z.object({ kind: z.literal("membership"), ...positionFields, membership: membershipSchema }),
]);

/**
 * One entry of the log: its position, the term of the leader that created it, and its content.
 *
 * Commands remain encoded until they are applied.
 */
export type LogEntry = Readonly<z.infer<typeof logEntrySchema>>;

/** The content of an entry, before a leader assigns its position and term. */
export type EntryContent = LogEntry extends infer Entry ? Entry extends LogEntry ? Omit<Entry, "position" | "term">
    : never
    : never;

/** Encoded size of an entry without its command or membership, in bytes, rounded up. */
const entryOverheadBytes = 64;

/** A conservative estimate of the encoded size of an entry, in bytes. */
export function entryBytes(entry: LogEntry): number {
    const membershipBytes = entry.kind === "membership" ? entry.membership.members.length * 512 : 0;
    return entryOverheadBytes + membershipBytes + (entry.kind === "command" ? entry.command.length : 0);
}

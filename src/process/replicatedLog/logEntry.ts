import { z } from "zod";
import { bytesSchema } from "../../util/bytesSchema.js";
import { membershipSchema } from "./membership.js";

const place = { position: z.int().positive(), term: z.int().nonnegative() };

/** Schema of {@link LogEntry}. */
export const logEntrySchema = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("noOp"), ...place }),
    z.object({ kind: z.literal("command"), ...place, command: bytesSchema }),
    z.object({ kind: z.literal("membership"), ...place, membership: membershipSchema }),
]);

/**
 * One entry of the log: its place, the term of the leader that made it, and its content.
 *
 * Commands stay encoded until they are applied.
 */
export type LogEntry = Readonly<z.infer<typeof logEntrySchema>>;

/** What an entry says, before a leader gives it a place. */
export type EntryContent = LogEntry extends infer Entry ? Entry extends LogEntry ? Omit<Entry, "position" | "term">
    : never
    : never;

/** Bytes beside the command that an entry takes on the disk and on the wire, rounded up. */
const entryOverheadBytes = 64;

/** An upper estimate of the encoded size of an entry, in bytes. */
export function entryBytes(entry: LogEntry): number {
    const membershipBytes = entry.kind === "membership" ? entry.membership.members.length * 512 : 0;
    return entryOverheadBytes + membershipBytes + (entry.kind === "command" ? entry.command.length : 0);
}

import { z } from "zod";
import { bytesSchema } from "../../util/bytesSchema.js";

/** Version of the protocol between hosted entries and control processes, and among these about entries. */
export const linkProtocolVersion = 2;

/** Offset of the port on which control processes take links of entries, from the first internal port. */
export const controlLinkPortOffset = 1;

/** Offset of the port on which control processes take links of each other, from the first internal port. */
export const peerPortOffset = 0;

const count = z.int().min(0);
const shortText = z.string().max(256);

/** Calls that began to run, by usage window and team. */
const usageSchema = z.record(shortText, z.record(shortText, count));

/** Engine time that calls take of each service, in milliseconds a second, apart for long prompts and all other calls. */
const workSchema = z.record(shortText, z.object({ long: z.number().min(0), other: z.number().min(0) }).readonly());

/** Engine time that calls take, by service. */
export type ServiceWork = Readonly<z.output<typeof workSchema>>;

/** Messages to a control process from entries, and from other control processes that observe its entries. */
export const entryMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("hello"),
        protocol: z.int(),
        entry: shortText,
        /** Differs at each start of the entry's process. */
        incarnation: shortText,
        failureDomain: shortText,
        callerAddress: shortText,
        /** Version of the configuration that the entry holds; 0 for none. */
        version: count,
    }),
    z.object({
        kind: z.literal("beat"),
        number: count,
        /** The entry's wall-clock time, in Unix milliseconds. */
        unixTime: z.number(),
        version: count,
        /** Whether callers may be sent to the entry. */
        isReady: z.boolean(),
        /** Pause until the next beat, in milliseconds; 0 where the first beats follow at once. */
        interval: z.number().min(0),
        /** Whether the control process shall confirm with a quorum which configuration is the newest. */
        wantsPermit: z.boolean(),
        work: workSchema,
        /** Running totals of the windows that have changed since the last beat of this link. */
        usage: usageSchema.optional(),
    }),
    z.object({
        /** A control process asks to be told which entries are linked to this one. */
        kind: z.literal("observe"),
        protocol: z.int(),
        control: shortText,
    }),
]);

/** A message from an entry to a control process. */
export type EntryMessage = z.output<typeof entryMessageSchema>;

/** The first message of an entry. */
export type EntryHello = Extract<EntryMessage, { kind: "hello"; }>;

/** What an entry tells at regular intervals. */
export type EntryHeartbeat = Extract<EntryMessage, { kind: "beat"; }>;

/** An entry as the control process that it is linked to sees it. */
const presentEntrySchema = z.object({
    entry: shortText,
    /** Differs at each start of the entry's process. */
    incarnation: shortText,
    failureDomain: shortText,
    callerAddress: shortText,
    isReady: z.boolean(),
    /** How long the entry still counts as present unless it is heard, in milliseconds. */
    remaining: z.number(),
}).readonly();

/** An entry as another control process tells of it. */
export type PresentEntry = z.output<typeof presentEntrySchema>;

const endpointSchema = z.object({
    id: z.string(),
    service: z.string(),
    address: z.string(),
    failureDomain: z.string(),
    slots: z.number(),
    isLeaving: z.boolean(),
    warmUpTime: z.number(),
    startedAt: z.number().optional(),
    isSpot: z.boolean(),
}).readonly();

/** Messages from a control process to an entry. */
export const controlMessageSchema = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("configuration"),
        version: count,
        /** The operator's document, compressed with DEFLATE. */
        body: bytesSchema,
    }),
    z.object({
        kind: z.literal("beatAnswer"),
        number: count,
        /** The control process's wall-clock time, in Unix milliseconds. */
        unixTime: z.number(),
        /** The newest version when the beat was sent, as a quorum confirmed; absent where none did. */
        confirmedVersion: count.optional(),
        isLeader: z.boolean(),
        /** Hosts of all control processes. */
        controlHosts: z.array(shortText).max(64).readonly(),
        /** Host of the leader; absent where none is known. */
        leaderHost: shortText.optional(),
        /** Number of entries that serve. */
        entryCount: count,
        /** Sums over all entries. */
        work: workSchema,
    }),
    z.object({
        kind: z.literal("endpoints"),
        /** Time since the list was read, in milliseconds; a control process may hold an old one. */
        age: z.number(),
        endpoints: z.array(endpointSchema).readonly(),
    }),
    z.object({
        /** The entries that are linked to the control process; to other control processes alone. */
        kind: z.literal("presence"),
        entries: z.array(presentEntrySchema).readonly(),
    }),
]);

/** A message from a control process to an entry. */
export type ControlMessage = z.output<typeof controlMessageSchema>;

/** The answer to a beat. */
export type BeatAnswer = Extract<ControlMessage, { kind: "beatAnswer"; }>;

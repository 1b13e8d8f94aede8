import { z } from "zod";
import { bytesSchema } from "../../util/bytesSchema.js";

/** Version of the protocol between hosted entries and control processes. */
export const linkProtocolVersion = 1;

/** Offset of the port on which control processes take links of entries, from the first internal port. */
export const linkPortOffset = 1;

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

/** Messages from an entry to a control process. */
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
        /** Whether the control process shall confirm with a quorum which configuration is the newest. */
        wantsPermit: z.boolean(),
        work: workSchema,
        /** Running totals; present when they have changed. */
        usage: usageSchema.optional(),
    }),
]);

/** A message from an entry to a control process. */
export type EntryMessage = z.output<typeof entryMessageSchema>;

/** The first message of an entry. */
export type EntryHello = Extract<EntryMessage, { kind: "hello"; }>;

/** What an entry tells at regular intervals. */
export type EntryBeat = Extract<EntryMessage, { kind: "beat"; }>;

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
]);

/** A message from a control process to an entry. */
export type ControlMessage = z.output<typeof controlMessageSchema>;

/** The answer to a beat. */
export type BeatAnswer = Extract<ControlMessage, { kind: "beatAnswer"; }>;

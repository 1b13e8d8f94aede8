import { z } from "zod";

const nameSchema = z.string().max(256);
const durationSchema = z.number().min(0);

/** Maximum number of lost calls in the report of one crash. */
const maximumReportedCalls = 64;

/** Maximum number of features of one lost call. */
const maximumReportedFeatures = 64;

const crashReportSchema = z.object({
    endpoint: nameSchema,
    service: nameSchema,
    /** Time since the crash was observed, in milliseconds. */
    age: durationSchema,
    /** Calls that ran at the endpoint and had not been answered for long. */
    calls: z.array(z.object({
        /** Absent for a call without a key. */
        team: nameSchema.optional(),
        features: z.array(nameSchema).max(maximumReportedFeatures).readonly(),
    })).max(maximumReportedCalls).readonly(),
}).readonly();

/** A crash of an endpoint as an entry observed it. */
export type CrashReport = z.output<typeof crashReportSchema>;

const soundReportSchema = z.object({
    service: nameSchema,
    /** Empty for a sound call without a suspected feature. */
    feature: nameSchema,
    /** Time since the call that was answered was sent to its endpoint, in milliseconds. */
    age: durationSchema,
}).readonly();

/** A feature of a call that an endpoint answered without a crash. */
export type SoundReport = z.output<typeof soundReportSchema>;

/** What an entry learnt about crashes since its previous message on the link. */
export const evidenceSchema = z.object({
    kind: z.literal("evidence"),
    crashes: z.array(crashReportSchema).readonly(),
    sound: z.array(soundReportSchema).readonly(),
});

/** What an entry learnt about crashes. */
export type Evidence = z.output<typeof evidenceSchema>;

/** Asks the leader whether a call that is held back may be let through. */
export const trialRequestSchema = z.object({
    kind: z.literal("trialRequest"),
    number: z.int().min(0),
    service: nameSchema,
    feature: nameSchema,
    /** All features of the call. */
    features: z.array(nameSchema).max(maximumReportedFeatures).readonly(),
});

/** A request for a trial. */
export type TrialRequest = z.output<typeof trialRequestSchema>;

/** The response to a request for a trial. */
export const trialResponseSchema = z.object({
    kind: z.literal("trial"),
    number: z.int().min(0),
    isGranted: z.boolean(),
});

const heldFeatureSchema = z.object({
    service: nameSchema,
    feature: nameSchema,
    /** Teams whose calls are held back; absent for all. */
    teams: z.array(nameSchema).readonly().optional(),
    /** Time since the first crash under calls with the feature, in milliseconds. */
    age: durationSchema,
    /** Time until another call may be let through, in milliseconds; absent if only an operator can release the calls. */
    trialIn: durationSchema.optional(),
    isTrialRunning: z.boolean(),
}).readonly();

/** A feature whose calls are held back. */
export type HeldFeature = z.output<typeof heldFeatureSchema>;

/** All features whose calls are held back; also tells an entry that the control process understands evidence. */
export const holdsSchema = z.object({
    kind: z.literal("holds"),
    /** Increases with each change. */
    revision: z.int().min(0),
    holds: z.array(heldFeatureSchema).readonly(),
});

const suspectSchema = z.object({
    service: nameSchema,
    feature: nameSchema,
    /** Time since the first crash under calls with the feature, in milliseconds. */
    age: durationSchema,
    /** Number of crashes, those at about the same time counted once. */
    incidents: z.int().min(0),
}).readonly();

/** A feature that may be the cause of crashes. */
export type Suspect = z.output<typeof suspectSchema>;

/** The leader's suspects; replaces the previous list. */
export const suspectsSchema = z.object({
    kind: z.literal("suspects"),
    suspects: z.array(suspectSchema).readonly(),
});

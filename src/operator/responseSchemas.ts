import { z } from "zod";

/** Schema of the response to a change of the configuration. */
export const changeResponseSchema = z.object({ version: z.int().min(0), repeated: z.boolean() }).readonly();

/** Schema of the response that a version is in force at every entry. */
export const inForceResponseSchema = z.object({ version: z.int().min(0) }).readonly();

/** Schema of the differences between a manifest and the one in force. */
export const diffResponseSchema = z.object({
    version: z.int().min(0),
    repeated: z.boolean(),
    changes: z.array(
        z.object({
            part: z.string(),
            name: z.string().optional(),
            kind: z.enum(["added", "changed", "removed"]),
            values: z.array(
                z.object({ path: z.string(), before: z.string().optional(), after: z.string().optional() }).readonly(),
            ).readonly(),
        }).readonly(),
    ).readonly(),
}).readonly();

const endpointSchema = z.object({
    name: z.string(),
    address: z.string(),
    failureDomain: z.string(),
    cheap: z.boolean(),
}).readonly();

const entrySchema = z.object({
    entry: z.string(),
    incarnation: z.string(),
    failureDomain: z.string(),
    callerAddress: z.string(),
    metricsAddress: z.string(),
    version: z.int(),
    connected: z.boolean(),
    permitLeft: z.number(),
    draining: z.boolean(),
    runningRequests: z.int(),
    waitingRequests: z.int(),
}).readonly();

/** Schema of the cluster state that the leading control process reports. */
export const statusResponseSchema = z.object({
    control: z.string(),
    leaderAddress: z.string().optional(),
    fencingNumber: z.int(),
    log: z.object({
        memberId: z.string(),
        term: z.int(),
        lastPosition: z.int(),
        commitPosition: z.int(),
        appliedPosition: z.int(),
    }).readonly(),
    members: z.array(
        z.object({
            memberId: z.string(),
            role: z.string(),
            address: z.string(),
            operatorAddress: z.string(),
            leads: z.boolean(),
        }).readonly(),
    ).readonly(),
    version: z.int(),
    manifest: z.object({ number: z.int().optional(), operator: z.string(), receivedAt: z.number() }).readonly()
        .optional(),
    entries: z.array(entrySchema).readonly(),
    entriesComplete: z.boolean(),
    pools: z.array(
        z.object({ name: z.string(), kind: z.string(), endpoints: z.array(endpointSchema).readonly() }).readonly(),
    ).readonly(),
}).readonly();

/** Schema of the response to a membership change. */
export const memberChangeResponseSchema = z.object({ position: z.int(), repeated: z.boolean() }).readonly();

/** Schema of the response to an accepted drain request. */
export const drainResponseSchema = z.object({ entry: z.string() }).readonly();

const integerText = z.string().regex(/^\d+$/);
const totalsSchema = z.object({
    requests: integerText,
    promptTokens: integerText,
    cachedTokens: integerText,
    outputTokens: integerText,
    endpointTime: integerText,
    price: integerText,
    cut: integerText,
}).readonly();

/** Schema of the usage that the control processes have recorded. */
export const usageResponseSchema = z.object({
    currency: z.string().optional(),
    open: z.array(
        z.object({
            start: z.number(),
            end: z.number(),
            totals: totalsSchema,
            lines: z.array(
                z.object({
                    team: z.string(),
                    requestClass: z.string(),
                    outcome: z.string(),
                    correctionOf: z.number().optional(),
                    totals: totalsSchema,
                }).readonly(),
            ).readonly(),
        }).readonly(),
    ).readonly(),
    sealed: z.array(
        z.object({
            start: z.number(),
            end: z.number(),
            digest: z.string(),
            reportedAt: z.number().optional(),
            totals: totalsSchema,
        }).readonly(),
    ).readonly(),
}).readonly();

/** Schema of how the configuration resolves a request, independent of load. */
export const explanationResponseSchema = z.object({
    version: z.int(),
    refusal: z.string().optional(),
    resolved: z.object({
        route: z.object({ name: z.string(), kind: z.string() }).readonly(),
        pool: z.string(),
        requestClass: z.object({
            name: z.string(),
            tier: z.int(),
            weight: z.number(),
            preemptible: z.boolean(),
            maximumQueueMilliseconds: z.number().optional(),
            target: z.object({
                firstTokenMilliseconds: z.number().optional(),
                betweenTokensMilliseconds: z.number().optional(),
                totalMilliseconds: z.number(),
            }).readonly(),
        }).readonly(),
        limits: z.object({
            requestsPerSecond: z.number().optional(),
            tokensPerMinute: z.number().optional(),
            concurrentRequests: z.number().optional(),
        }).readonly().optional(),
        endpoints: z.array(endpointSchema).readonly(),
    }).readonly().optional(),
    entries: z.array(entrySchema).readonly(),
}).readonly();

/** Schema of the state that an entry serves at its metrics address. */
export const entryStateSchema = z.object({
    entry: z.string(),
    version: z.int(),
    draining: z.boolean(),
    serves: z.boolean(),
    pools: z.array(
        z.object({
            pool: z.string(),
            running: z.int(),
            waiting: z.int(),
            endpoints: z.array(
                z.object({
                    name: z.string(),
                    running: z.int(),
                    freeSlots: z.int(),
                    load: z.number(),
                    condition: z.enum(["sound", "trial", "setAside", "leaving"]),
                    fault: z.string().optional(),
                }).readonly(),
            ).readonly(),
        }).readonly(),
    ).readonly(),
    classes: z.array(
        z.object({
            requestClass: z.string(),
            ends: z.record(z.string(), z.int()),
            withinTarget: z.int(),
            times: z.record(
                z.string(),
                z.object({ count: z.int(), p50: z.number(), p95: z.number(), p99: z.number() }).readonly(),
            ),
        }).readonly(),
    ).readonly(),
}).readonly();

/** The cluster state that the leading control process reports. */
export type StatusResponse = z.output<typeof statusResponseSchema>;

/** The usage that the control processes have recorded. */
export type UsageResponse = z.output<typeof usageResponseSchema>;

/** How the configuration resolves a request, independent of load. */
export type ExplanationResponse = z.output<typeof explanationResponseSchema>;

/** The state that an entry reports about itself. */
export type EntryState = z.output<typeof entryStateSchema>;

/** The differences between a manifest and the one in force. */
export type DiffResponse = z.output<typeof diffResponseSchema>;

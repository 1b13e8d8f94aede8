import { z } from "zod";

const nameSchema = z.string().regex(
    /^[a-z0-9][a-z0-9-]{0,62}$/,
    "must be 1 to 63 lower-case letters, digits or hyphens",
);
const sha256DigestSchema = z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in lower-case hexadecimal");
const addressSchema = z.string().regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "must be an IP number and a port",
);
const millisecondsSchema = z.int().positive();

/** Lowest (least important) tier; tier 0 is the most important. */
export const lowestTier = 5;

const limitsSchema = z.strictObject({
    requestsPerSecond: z.number().positive().optional().describe("Maximum requests per second, over all entries."),
    tokensPerMinute: z.number().positive().optional().describe(
        "Maximum prompt and output tokens per minute, over all entries.",
    ),
    concurrentRequests: z.int().positive().optional().describe(
        "Maximum number of requests that are admitted and not yet completed.",
    ),
}).readonly();

const keySchema = z.strictObject({
    name: nameSchema.describe("Name of the key, unique in its team."),
    digest: sha256DigestSchema.describe("SHA-256 digest of the key."),
    limits: limitsSchema.optional().describe("Limits of this key."),
}).readonly();

const teamSchema = z.strictObject({
    name: nameSchema.describe("Name of the team."),
    weight: z.number().positive().default(1).describe("Relative share of capacity among the teams of a tier."),
    keys: z.array(keySchema).readonly().describe(
        "Keys of the team; more may be issued without a change of the manifest.",
    ),
    limits: limitsSchema.optional().describe("Limits of the team over all its keys."),
}).readonly();

const classSchema = z.strictObject({
    name: nameSchema.describe("Name of the class, which callers send in x-request-class."),
    tier: z.int().min(0).max(lowestTier).describe("Priority tier; 0 is the most important."),
    weight: z.number().positive().default(1).describe("Relative share of capacity among the classes of a tier."),
    target: z.strictObject({
        firstTokenMilliseconds: millisecondsSchema.optional().describe("From arrival to the first token."),
        betweenTokensMilliseconds: millisecondsSchema.optional().describe("Between two tokens."),
        totalMilliseconds: millisecondsSchema.describe("From arrival to the end of the response."),
    }).readonly().describe("Maximum times of a request that counts as within its target."),
    preemptible: z.boolean().default(false).describe("Whether a running request may be interrupted and resumed."),
    maximumQueueMilliseconds: millisecondsSchema.optional().describe(
        "Maximum time in the queue before the request is refused.",
    ),
    maximumOutputTokens: z.int().positive().default(4096).describe("Maximum length of the response, in tokens."),
}).readonly();

const routeSchema = z.strictObject({
    name: nameSchema.describe("Name of the route."),
    kind: z.enum(["model", "service"]).describe("Whether requests go to model engines or to a plain service."),
    model: z.string().min(1).optional().describe("Model name that callers send; model routes only."),
    adapter: z.string().min(1).optional().describe("Adapter that the engine must have; model routes only."),
    version: z.string().min(1).optional().describe(
        "Version of the model that the engine must have; model routes only.",
    ),
    pathPrefix: z.string().startsWith("/").optional().describe("Prefix of the paths of requests; service routes only."),
    pool: nameSchema.describe("Pool that serves the route."),
    requestClass: nameSchema.describe("Class of requests that do not name one."),
    classes: z.array(nameSchema).readonly().default([]).describe("Further classes that callers may name."),
    teams: z.union([z.literal("all"), z.array(nameSchema).readonly()]).describe("Teams that may use the route."),
    openToAll: z.boolean().default(false).describe("Whether requests without a key are accepted."),
    idempotentMethods: z.array(z.enum(["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"])).readonly()
        .default(["GET", "HEAD"])
        .describe("Methods whose requests may run more than once; service routes only."),
}).readonly();

const endpointSchema = z.strictObject({
    name: nameSchema.describe("Name of the endpoint, unique in the manifest."),
    address: addressSchema.describe("IP address and port at which the endpoint accepts HTTP requests."),
    failureDomain: nameSchema.describe("Failure domain of the endpoint's VM."),
    cheap: z.boolean().default(false).describe("Whether the platform may reclaim the endpoint within seconds."),
}).readonly();

const capacitySchema = z.strictObject({
    minimumReplicas: z.int().min(0).default(0).describe("Minimum number of replicas, kept even without demand."),
    maximumReplicas: z.int().positive().describe("Maximum number of replicas that are ordered."),
    engineKind: nameSchema.describe("Kind of the endpoints that are ordered from the platform."),
    steadyPricePerHour: z.int().min(0).describe(
        "Price of a steady (not reclaimable) replica, in millionths of the currency unit.",
    ),
    cheapPricePerHour: z.int().min(0).optional().describe(
        "Price of a cheap (reclaimable) replica, in millionths of the currency unit; absent if none are offered.",
    ),
    cheapFailureDomains: z.array(nameSchema).readonly().default([]).describe(
        "Failure domains in which cheap replicas may be ordered.",
    ),
    failureDomains: z.array(nameSchema).readonly().describe("Failure domains in which steady replicas may be ordered."),
    spendLimitPerHour: z.int().positive().optional().describe("Maximum spend, in millionths of the currency unit."),
}).readonly();

const poolSchema = z.strictObject({
    name: nameSchema.describe("Name of the pool."),
    kind: z.enum(["model", "service"]).describe("Whether its endpoints are model engines or plain services."),
    model: z.string().min(1).optional().describe("Model that the engines load."),
    checksFencing: z.boolean().default(false).describe("Whether its endpoints reject outdated fencing numbers."),
    concurrentRequestsPerEndpoint: z.int().positive().default(64).describe(
        "Maximum number of requests that one entry runs concurrently on one endpoint.",
    ),
    endpoints: z.array(endpointSchema).readonly().default([]).describe(
        "Static endpoints, which are not ordered from the platform.",
    ),
    capacity: capacitySchema.optional().describe(
        "Limits and prices of the endpoints that are ordered from the platform; absent if none are ordered.",
    ),
}).readonly();

const priceSchema = z.strictObject({
    requestClass: nameSchema.describe("Class to which the prices apply."),
    perRequest: z.int().min(0).default(0).describe("Millionths of the currency unit."),
    perMillionPromptTokens: z.int().min(0).default(0).describe("Millionths of the currency unit."),
    perMillionCachedTokens: z.int().min(0).default(0).describe("Millionths of the currency unit."),
    perMillionOutputTokens: z.int().min(0).default(0).describe("Millionths of the currency unit."),
}).readonly();

/** Schema of a manifest: the part of the configuration that operators submit as a whole. */
export const manifestSchema = z.strictObject({
    number: z.int().positive().describe("Number of the submission; increases with each accepted submission."),
    teams: z.array(teamSchema).readonly().describe("Teams, which hold keys and are billed."),
    classes: z.array(classSchema).readonly().describe("Request classes."),
    routes: z.array(routeSchema).readonly().describe("Which requests go to which pool; the longest path prefix wins."),
    pools: z.array(poolSchema).readonly().describe("Pools of interchangeable endpoints."),
    billing: z.strictObject({
        currency: z.string().regex(/^[A-Z]{3}$/).describe("Three-letter code of the currency."),
        cutPerMillion: z.int().min(0).max(1_000_000).describe("The cut (commission), in millionths of the price."),
        windowSeconds: z.int().positive().default(3600).describe("Length of a usage window, in seconds."),
        prices: z.array(priceSchema).readonly().default([]).describe(
            "Prices of request classes; a class without prices costs nothing.",
        ),
    }).readonly().describe("Prices, cut (commission) and usage windows."),
}).readonly();

/** A manifest that satisfies {@link manifestSchema}. */
export type Manifest = z.output<typeof manifestSchema>;

/** A team of a manifest. */
export type Team = z.output<typeof teamSchema>;

/** A key of a team: its name and digest, never its plain text. */
export type Key = z.output<typeof keySchema>;

/** Limits of a team or key, over all entries. */
export type Limits = z.output<typeof limitsSchema>;

/** A request class: tier, weight and target. */
export type RequestClass = z.output<typeof classSchema>;

/** A route: which requests go to which pool, and for which teams. */
export type Route = z.output<typeof routeSchema>;

/** A pool of interchangeable endpoints. */
export type Pool = z.output<typeof poolSchema>;

/** A static endpoint, listed in the manifest. */
export type ManifestEndpoint = z.output<typeof endpointSchema>;

/** Limits and prices of the endpoints that are ordered from the platform for a pool. */
export type PoolCapacity = z.output<typeof capacitySchema>;

/** Prices of one request class. */
export type Price = z.output<typeof priceSchema>;

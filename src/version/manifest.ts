import { z } from "zod";

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "must be 1 to 63 lower-case letters, digits or hyphens");
const sha256Digest = z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in lower-case hexadecimal");
const address = z.string().regex(
    /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/,
    "must be an IP number and a port",
);
const milliseconds = z.int().positive();

/** Lowest (least important) tier; tier 0 is the most important. */
export const lowestTier = 5;

const limitsSchema = z.strictObject({
    requestsPerSecond: z.number().positive().optional().describe("Requests a second, over all entries."),
    tokensPerMinute: z.number().positive().optional().describe("Prompt and output tokens a minute, over all entries."),
    concurrentRequests: z.int().positive().optional().describe("Requests admitted and not yet answered."),
}).readonly();

const keySchema = z.strictObject({
    name: name.describe("Name of the key, unique in its team."),
    digest: sha256Digest.describe("SHA-256 of the key's text."),
    limits: limitsSchema.optional().describe("Limits of this key."),
}).readonly();

const teamSchema = z.strictObject({
    name: name.describe("Name of the team."),
    weight: z.number().positive().default(1).describe("Share of service among the teams of a tier."),
    keys: z.array(keySchema).readonly().describe("Keys of the team; others may be issued beside the manifest."),
    limits: limitsSchema.optional().describe("Limits of the team over all its keys."),
}).readonly();

const classSchema = z.strictObject({
    name: name.describe("Name of the class, which callers send in x-request-class."),
    tier: z.int().min(0).max(lowestTier).describe("0 is the most important."),
    weight: z.number().positive().default(1).describe("Share of service among the classes of a tier."),
    target: z.strictObject({
        firstTokenMilliseconds: milliseconds.optional().describe("From arrival to the first token."),
        betweenTokensMilliseconds: milliseconds.optional().describe("Between two tokens."),
        totalMilliseconds: milliseconds.describe("From arrival to the end of the answer."),
    }).readonly().describe("Longest times of a request that counts as served well."),
    preemptible: z.boolean().default(false).describe("Whether a running request may be interrupted and resumed."),
    maximumQueueMilliseconds: milliseconds.optional().describe("Longest wait before the request is refused."),
    maximumOutputTokens: z.int().positive().default(4096).describe("Longest answer, in tokens."),
}).readonly();

const routeSchema = z.strictObject({
    name: name.describe("Name of the route."),
    kind: z.enum(["model", "service"]).describe("Whether it leads to model engines or to a plain service."),
    model: z.string().min(1).optional().describe("Model name that callers send; model routes only."),
    adapter: z.string().min(1).optional().describe("Adapter that the engine must have; model routes only."),
    version: z.string().min(1).optional().describe(
        "Version of the model that the engine must have; model routes only.",
    ),
    pathPrefix: z.string().startsWith("/").optional().describe("Service routes only."),
    pool: name.describe("Pool that serves the route."),
    requestClass: name.describe("Class of requests that name none."),
    classes: z.array(name).readonly().default([]).describe("Further classes that callers may name."),
    teams: z.union([z.literal("all"), z.array(name).readonly()]).describe("Teams that may use the route."),
    openToAll: z.boolean().default(false).describe("Whether requests without a key are accepted."),
    idempotentMethods: z.array(z.enum(["GET", "HEAD", "PUT", "DELETE", "POST", "PATCH"])).readonly()
        .default(["GET", "HEAD"])
        .describe("Methods whose requests may run more than once; service routes only."),
}).readonly();

const endpointSchema = z.strictObject({
    name: name.describe("Name of the endpoint, unique in the manifest."),
    address: address.describe("Where it takes requests, over HTTP."),
    failureDomain: name.describe("Failure domain of its VM."),
    cheap: z.boolean().default(false).describe("Whether the platform may reclaim it within seconds."),
}).readonly();

const capacitySchema = z.strictObject({
    minimumReplicas: z.int().min(0).default(0).describe("Replicas that are kept also without demand."),
    maximumReplicas: z.int().positive().describe("Replicas that are ordered at most."),
    engineKind: name.describe("Kind of endpoint that is ordered from the platform."),
    steadyPricePerHour: z.int().min(0).describe("Millionths of the currency unit."),
    cheapPricePerHour: z.int().min(0).optional().describe("Millionths of the currency unit; absent: none on offer."),
    cheapFailureDomains: z.array(name).readonly().default([]).describe("Where cheap replicas may be ordered."),
    failureDomains: z.array(name).readonly().describe("Where steady replicas may be ordered."),
    spendLimitPerHour: z.int().positive().optional().describe("Millionths of the currency unit."),
}).readonly();

const poolSchema = z.strictObject({
    name: name.describe("Name of the pool."),
    kind: z.enum(["model", "service"]).describe("Whether its endpoints are model engines or plain services."),
    model: z.string().min(1).optional().describe("Model that its engines load."),
    checksFencing: z.boolean().default(false).describe("Whether its endpoints refuse an old fencing number."),
    concurrentRequestsPerEndpoint: z.int().positive().default(64).describe(
        "Requests that one entry runs at one endpoint at most.",
    ),
    endpoints: z.array(endpointSchema).readonly().default([]).describe("Endpoints that are not ordered."),
    capacity: capacitySchema.optional().describe("Present where the system orders endpoints."),
}).readonly();

const priceSchema = z.strictObject({
    requestClass: name.describe("Class that the prices hold for."),
    perRequest: z.int().min(0).default(0).describe("Millionths of the currency unit."),
    perMillionPromptTokens: z.int().min(0).default(0).describe("Millionths of the currency unit."),
    perMillionCachedTokens: z.int().min(0).default(0).describe("Millionths of the currency unit."),
    perMillionOutputTokens: z.int().min(0).default(0).describe("Millionths of the currency unit."),
}).readonly();

/** Schema of a manifest: everything that an operator decides, submitted as a whole. */
export const manifestSchema = z.strictObject({
    number: z.int().positive().describe("Number of the submission; it only rises."),
    teams: z.array(teamSchema).readonly().describe("Everyone who holds keys and pays."),
    classes: z.array(classSchema).readonly().describe("Kinds of requests."),
    routes: z.array(routeSchema).readonly().describe("Which requests go to which pool; the longest path prefix wins."),
    pools: z.array(poolSchema).readonly().describe("Interchangeable endpoints."),
    billing: z.strictObject({
        currency: z.string().regex(/^[A-Z]{3}$/).describe("Code of the currency, three letters."),
        cutPerMillion: z.int().min(0).max(1_000_000).describe("The cut in millionths of the price."),
        windowSeconds: z.int().positive().default(3600).describe("Length of usage windows."),
        prices: z.array(priceSchema).readonly().default([]).describe(
            "Prices of classes; a class without prices costs nothing.",
        ),
    }).readonly().describe("Prices, cut and windows."),
}).readonly();

/** A manifest that satisfies {@link manifestSchema}. */
export type Manifest = z.output<typeof manifestSchema>;

/** A team of a manifest. */
export type Team = z.output<typeof teamSchema>;

/** A key of a team: its name and digest, never its text. */
export type Key = z.output<typeof keySchema>;

/** Limits of a team or key, over all entries. */
export type Limits = z.output<typeof limitsSchema>;

/** A request class: tier, weight and target. */
export type RequestClass = z.output<typeof classSchema>;

/** A route: which requests go to which pool, and for which teams. */
export type Route = z.output<typeof routeSchema>;

/** A pool of interchangeable endpoints. */
export type Pool = z.output<typeof poolSchema>;

/** An endpoint that stands in the manifest. */
export type ManifestEndpoint = z.output<typeof endpointSchema>;

/** What the system may order for a pool. */
export type PoolCapacity = z.output<typeof capacitySchema>;

/** Prices of one request class. */
export type Price = z.output<typeof priceSchema>;

import { z } from "zod";

const textSchema = z.string().optional().catch(undefined);
const countSchema = z.number().optional().catch(undefined);
const textListSchema = z.preprocess(toListOrEmpty, z.array(textSchema));

/** Names and references in a manifest. Accepts any JSON value; parts that are missing or invalid are left out. */
const outlineSchema = z.object({
    teams: listSchema(
        z.object({ name: textSchema, keys: listSchema(z.object({ name: textSchema, digest: textSchema })) }),
    ),
    classes: listSchema(z.object({ name: textSchema })),
    routes: listSchema(z.object({
        name: textSchema,
        kind: textSchema,
        model: textSchema,
        pathPrefix: textSchema,
        pool: textSchema,
        requestClass: textSchema,
        classes: textListSchema,
        teams: textListSchema,
    })),
    pools: listSchema(z.object({
        name: textSchema,
        kind: textSchema,
        endpoints: listSchema(z.object({ name: textSchema })),
        capacity: z.preprocess(
            toObjectOrEmpty,
            z.object({ minimumReplicas: countSchema, maximumReplicas: countSchema }),
        ),
    })),
    billing: z.preprocess(toObjectOrEmpty, z.object({ prices: listSchema(z.object({ requestClass: textSchema })) })),
});

/** The outline of a manifest; parts that are missing or invalid are undefined or empty. */
export type ManifestOutline = z.output<typeof outlineSchema>;

/** Extracts the outline of a value that need not be a valid manifest. */
export function extractManifestOutline(value: unknown): ManifestOutline {
    return outlineSchema.parse(toObjectOrEmpty(value));
}

function listSchema<Item extends z.ZodType>(item: Item): z.ZodPreprocess<z.ZodArray<z.ZodPreprocess<Item>>> {
    return z.preprocess(toListOrEmpty, z.array(z.preprocess(toObjectOrEmpty, item)));
}

function toListOrEmpty(value: unknown): unknown {
    return Array.isArray(value) ? value : [];
}

function toObjectOrEmpty(value: unknown): unknown {
    return Object(value) === value && !Array.isArray(value) ? value : {};
}

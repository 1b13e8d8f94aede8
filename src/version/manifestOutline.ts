import { z } from "zod";

const text = z.string().optional().catch(undefined);
const count = z.number().optional().catch(undefined);
const textList = z.preprocess(asList, z.array(text));

/** The parts by which the items of a manifest refer to each other, read as far as any JSON value has them. */
const outlineSchema = z.object({
    teams: listOf(z.object({ name: text, keys: listOf(z.object({ name: text, digest: text })) })),
    classes: listOf(z.object({ name: text })),
    routes: listOf(z.object({
        name: text,
        kind: text,
        model: text,
        pathPrefix: text,
        pool: text,
        requestClass: text,
        classes: textList,
        teams: textList,
    })),
    pools: listOf(z.object({
        name: text,
        kind: text,
        endpoints: listOf(z.object({ name: text })),
        capacity: z.preprocess(asObject, z.object({ minimumReplicas: count, maximumReplicas: count })),
    })),
    billing: z.preprocess(asObject, z.object({ prices: listOf(z.object({ requestClass: text })) })),
});

/** The outline of a manifest; what is missing or has another form is undefined or empty. */
export type ManifestOutline = z.output<typeof outlineSchema>;

/** The outline of a value that may or may not be a valid manifest. */
export function manifestOutline(value: unknown): ManifestOutline {
    return outlineSchema.parse(asObject(value));
}

function listOf<Item extends z.ZodType>(item: Item): z.ZodPreprocess<z.ZodArray<z.ZodPreprocess<Item>>> {
    return z.preprocess(asList, z.array(z.preprocess(asObject, item)));
}

function asList(value: unknown): unknown {
    return Array.isArray(value) ? value : [];
}

function asObject(value: unknown): unknown {
    return Object(value) === value && !Array.isArray(value) ? value : {};
}

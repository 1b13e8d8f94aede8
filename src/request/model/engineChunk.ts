import { z } from "zod";

const usageSchema = z.looseObject({
    prompt_tokens: z.int().min(0),
    completion_tokens: z.int().min(0),
    cached_tokens: z.int().min(0).default(0),
});

const chunkSchema = z.looseObject({
    id: z.string(),
    choices: z.array(z.looseObject({
        delta: z.looseObject({ content: z.string().optional() }).optional(),
        text: z.string().optional(),
        finish_reason: z.string().nullish(),
    })).min(1),
    token_number: z.int().min(0).optional(),
    usage: usageSchema.nullish(),
});

/** Token counts as an engine reports them. */
export type EngineUsage = z.output<typeof usageSchema>;

/** One event of an engine's streamed answer. */
export interface EngineChunk {
    /** Identifier of the request that it answers. */
    readonly id: string;
    readonly content: string;
    /** Number of its token, from 0; undefined on a chunk without a token. */
    readonly tokenNumber: number | undefined;
    readonly finishReason: string | undefined;
    readonly usage: EngineUsage | undefined;
}

/** Reads the data of one event; undefined when it has not the expected form. */
export function readEngineChunk(data: string): EngineChunk | undefined {
    let value: unknown;
    try {
        value = JSON.parse(data);
    }
    catch {
        return undefined;
    }
    const parsed = chunkSchema.safeParse(value);
    if (!parsed.success) {
        return undefined;
    }
    const [choice] = parsed.data.choices;
    return {
        id: parsed.data.id,
        content: choice?.delta?.content ?? choice?.text ?? "",
        tokenNumber: parsed.data.token_number,
        finishReason: choice?.finish_reason ?? undefined,
        usage: parsed.data.usage ?? undefined,
    };
}

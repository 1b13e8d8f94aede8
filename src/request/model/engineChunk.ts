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

const nonStreamingResponseSchema = z.looseObject({
    id: z.string(),
    choices: z.array(z.looseObject({
        message: z.looseObject({ content: z.string() }).optional(),
        text: z.string().optional(),
        finish_reason: z.string().nullish(),
    })).min(1),
    usage: usageSchema,
});

/** Token counts as reported by an engine. */
export type EngineUsage = z.output<typeof usageSchema>;

/** One event of an engine's streaming response. */
export interface EngineChunk {
    /** Identifier of the request that this is the response to. */
    readonly id: string;
    readonly content: string;
    /** Number of the chunk's token, counted from 0; undefined on a chunk without a token. */
    readonly tokenNumber: number | undefined;
    readonly finishReason: string | undefined;
    readonly usage: EngineUsage | undefined;
}

/** Parses the data of one event; undefined when it is not JSON or does not match the schema. */
export function parseEngineChunk(data: string): EngineChunk | undefined {
    const value = parseJson(data);
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

/** An engine's non-streaming response. */
export interface NonStreamingResponse {
    /** Identifier of the request that this is the response to. */
    readonly id: string;
    readonly content: string;
    readonly finishReason: string;
    readonly usage: EngineUsage;
}

/** Parses the body of a non-streaming response; undefined when it is not JSON or does not match the schema. */
export function parseNonStreamingResponse(body: string): NonStreamingResponse | undefined {
    const parsed = nonStreamingResponseSchema.safeParse(parseJson(body));
    const choice = parsed.data?.choices[0];
    const content = choice?.message?.content ?? choice?.text;
    if (!parsed.success || content === undefined) {
        return undefined;
    }
    return { id: parsed.data.id, content, finishReason: choice?.finish_reason ?? "stop", usage: parsed.data.usage };
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

import { z } from "zod";

const contentPart = z.looseObject({ type: z.literal("text"), text: z.string() });

const message = z.looseObject({
    role: z.string(),
    content: z.union([z.string(), z.array(contentPart).readonly()]),
});

const commonFields = {
    model: z.string().min(1),
    stream: z.boolean().default(false),
    max_tokens: z.int().positive().optional(),
    max_completion_tokens: z.int().positive().optional(),
    priority: z.int().min(0).default(0),
    adapter: z.string().optional(),
    version: z.string().optional(),
    resume_at: z.int().min(0).default(0),
    resume_text: z.string().default(""),
};

/** Schema of the body of `POST /v1/chat/completions`. */
export const chatBodySchema = z.looseObject({ ...commonFields, messages: z.array(message).min(1).readonly() });

/** Schema of the body of `POST /v1/completions`. */
export const textBodySchema = z.looseObject({ ...commonFields, prompt: z.string() });

/** A chat or text completion request. */
export type CompletionBody = z.output<typeof chatBodySchema> | z.output<typeof textBodySchema>;

/** The text that an engine computes on: the prompt itself, or `role: content` of each message on a line. */
export function promptText(
    body: Pick<z.output<typeof chatBodySchema>, "messages"> | { readonly prompt: string; },
): string {
    if ("prompt" in body) {
        return body.prompt;
    }
    return body.messages.map(entry => `${entry.role}: ${contentText(entry.content)}\n`).join("");
}

/** Largest number of answer tokens that the caller allows. */
export function maximumTokens(body: CompletionBody): number | undefined {
    return body.max_completion_tokens ?? body.max_tokens;
}

function contentText(content: z.output<typeof message>["content"]): string {
    return typeof content === "string" ? content : content.map(part => part.text).join("");
}

import { z } from "zod";

const contentPartSchema = z.looseObject({ type: z.literal("text"), text: z.string() });

const messageSchema = z.looseObject({
    role: z.string(),
    content: z.union([z.string(), z.array(contentPartSchema).readonly()]),
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
export const chatBodySchema = z.looseObject({ ...commonFields, messages: z.array(messageSchema).min(1).readonly() });

/** Schema of the body of `POST /v1/completions`. */
export const textBodySchema = z.looseObject({ ...commonFields, prompt: z.string() });

/** A chat or text completion request. */
export type CompletionBody = z.output<typeof chatBodySchema> | z.output<typeof textBodySchema>;

/** The prompt text of a request: `prompt` itself, or one line `role: content` for each message. */
export function promptText(
    body: Pick<z.output<typeof chatBodySchema>, "messages"> | { readonly prompt: string; },
): string {
    if ("prompt" in body) {
        return body.prompt;
    }
    return body.messages.map(entry => `${entry.role}: ${contentText(entry.content)}\n`).join("");
}

/** Maximum number of completion tokens that the caller allows; undefined without a limit. */
export function maximumTokens(body: CompletionBody): number | undefined {
    return body.max_completion_tokens ?? body.max_tokens;
}

function contentText(content: z.output<typeof messageSchema>["content"]): string {
    return typeof content === "string" ? content : content.map(part => part.text).join("");
}

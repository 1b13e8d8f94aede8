import { z } from "zod";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { findExcessiveNesting, maximumNestingDepth } from "../../util/jsonNesting.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";

/** Characters per token in the estimate of the prompt's tokens, used until the engine reports its own count. */
const estimatedCharactersPerToken = 4;

const messageSchema = z.looseObject({ role: z.string(), content: z.unknown() });

const contentPartsSchema = z.array(z.looseObject({ text: z.string() }));

const bodySchema = z.looseObject({
    model: z.string().min(1),
    messages: z.array(messageSchema).min(1).optional(),
    prompt: z.union([z.string(), z.array(z.string())]).optional(),
    stream: z.boolean().optional(),
    max_tokens: z.int().positive().optional(),
    max_completion_tokens: z.int().positive().optional(),
});

/** The API that a request uses: chat completions or text completions. */
export type ModelCallApi = "chat" | "completion";

/** The body of a model call; only the fields that the router needs are validated. */
export interface ModelRequestBody {
    readonly api: ModelCallApi;
    readonly model: string;
    /** Whether the caller requested server-sent events. */
    readonly stream: boolean;
    readonly maximumOutputTokens: number | undefined;
    readonly estimatedPromptTokens: number;
    /** The prompt as text; the affinity digest is computed from its first characters. */
    readonly promptText: string;
    /** The prompt as engines render it, for the digests of its cached prefixes. */
    readonly renderedPrompt: string;
    /** All fields of the body, including unvalidated ones, as the caller sent them. */
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Parses the JSON body of a chat or text completion call; fails with `bodyMalformed`. */
export function parseModelRequestBody(api: ModelCallApi, bytes: Buffer): Result<ModelRequestBody, Failure> {
    const text = bytes.toString("utf8");
    if (findExcessiveNesting(text) !== undefined) {
        return Err(failure("bodyMalformed", { reason: `it nests deeper than ${maximumNestingDepth} levels` }));
    }
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        return Err(failure("bodyMalformed", { reason: "it is not JSON" }));
    }
    const parsed = bodySchema.safeParse(value);
    if (!parsed.success) {
        const [issue] = parsed.error.issues;
        const reason = `${issue?.path.join(".") ?? ""}: ${issue?.message ?? "invalid"}`;
        return Err(failure("bodyMalformed", { reason }));
    }
    const body = parsed.data;
    const prompt = api === "chat" ? body.messages : body.prompt;
    if (prompt === undefined) {
        return Err(failure("bodyMalformed", { reason: api === "chat" ? "messages is missing" : "prompt is missing" }));
    }
    const promptText = typeof prompt === "string" ? prompt : JSON.stringify(prompt);
    return Ok({
        api,
        model: body.model,
        stream: body.stream ?? false,
        maximumOutputTokens: body.max_completion_tokens ?? body.max_tokens,
        estimatedPromptTokens: Math.ceil(promptText.length / estimatedCharactersPerToken),
        promptText,
        renderedPrompt: api === "chat" ? renderChatPrompt(body.messages ?? []) : promptText,
        fields: body,
    });
}

/** Renders chat messages as engines do: one line of `role: content` for each message. */
function renderChatPrompt(messages: readonly z.output<typeof messageSchema>[]): string {
    return messages.map(({ role, content }) => `${role}: ${contentText(content)}\n`).join("");
}

function contentText(content: unknown): string {
    if (typeof content === "string") {
        return content;
    }
    const parts = contentPartsSchema.safeParse(content);
    return parts.success ? parts.data.map(part => part.text).join("") : "";
}

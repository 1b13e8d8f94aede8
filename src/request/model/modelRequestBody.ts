import { z } from "zod";
import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { findTooDeep, maximumNesting } from "../../util/jsonNesting.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";

/** Characters of a prompt that are counted as one token before the engine has counted them. */
const charactersPerToken = 4;

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

/** Which of the common forms a request has. */
export type ModelCallApi = "chat" | "completion";

/** The body of a model call, checked as far as the router needs it. */
export interface ModelRequestBody {
    readonly form: ModelCallApi;
    readonly model: string;
    /** Whether the caller wants server-sent events. */
    readonly stream: boolean;
    readonly maximumOutputTokens: number | undefined;
    readonly estimatedPromptTokens: number;
    /** The prompt as text, for the digest of its leading part. */
    readonly promptText: string;
    /** The prompt as engines put it together, for the digests of its cached prefixes. */
    readonly engineText: string;
    /** All members as the caller sent them. */
    readonly members: Readonly<Record<string, unknown>>;
}

/** Reads the JSON body of a chat or completion call. */
export function parseModelRequestBody(form: ModelCallApi, bytes: Buffer): Result<ModelRequestBody, Failure> {
    const text = bytes.toString("utf8");
    if (findTooDeep(text) !== undefined) {
        return Err(failure("bodyMalformed", { reason: `it nests deeper than ${maximumNesting} levels` }));
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
    const prompt = form === "chat" ? body.messages : body.prompt;
    if (prompt === undefined) {
        return Err(failure("bodyMalformed", { reason: form === "chat" ? "messages is missing" : "prompt is missing" }));
    }
    const promptText = typeof prompt === "string" ? prompt : JSON.stringify(prompt);
    return Ok({
        form,
        model: body.model,
        stream: body.stream ?? false,
        maximumOutputTokens: body.max_completion_tokens ?? body.max_tokens,
        estimatedPromptTokens: Math.ceil(promptText.length / charactersPerToken),
        promptText,
        engineText: form === "chat" ? engineTextOf(body.messages ?? []) : promptText,
        members: body,
    });
}

/** The text of chat messages as engines see it: `role: content` of each on a line. */
function engineTextOf(messages: readonly z.output<typeof messageSchema>[]): string {
    return messages.map(({ role, content }) => `${role}: ${contentText(content)}\n`).join("");
}

function contentText(content: unknown): string {
    if (typeof content === "string") {
        return content;
    }
    const parts = contentPartsSchema.safeParse(content);
    return parts.success ? parts.data.map(part => part.text).join("") : "";
}

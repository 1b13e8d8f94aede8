import { z } from "zod";
import type { StandInCall } from "../standInCall.js";
import type { Sequence } from "./sequence.js";

/** Requests whose computed state is kept for an export, or was imported and awaits its request. */
const keptContexts = 1024;

const exportSchema = z.strictObject({ requestId: z.string().min(1) });
const importSchema = z.strictObject({ requestId: z.string().min(1), handle: z.string().min(1) });
const handleSchema = z.strictObject({ model: z.string(), prompt: z.string(), tokens: z.int().min(0) });

/** State that was computed for a request: its prompt and a number of tokens of context. */
type Context = z.output<typeof handleSchema>;

/** Exports and imports the state that an engine computed for a request, so that another need not compute it again. */
export class KvTransfers {
    private readonly computed = new Map<string, Context>();
    private readonly imported = new Map<string, Context>();

    /** Notes the state of a sequence that leaves the engine or is asked for. */
    keep(sequence: Sequence): void {
        const { id, model, prompt } = sequence.request;
        const tokens = sequence.remainingPrefill === 0 && sequence.cachedTokens !== undefined
            ? sequence.contextTokens
            : 0;
        putBounded(this.computed, id, { model, prompt, tokens });
    }

    /** Tokens of imported context for a request; they need no prefill. */
    importedTokens(id: string, model: string, prompt: string): number {
        const context = this.imported.get(id);
        return context?.model === model && context.prompt === prompt ? context.tokens : 0;
    }

    /** Handles `POST /v1/kv/export`; `running` is the sequence if it is still in the engine. */
    export(call: StandInCall, find: (id: string) => Sequence | undefined): void {
        const body = call.json(exportSchema);
        if (body.err) {
            call.refuse(400, body.val);
            return;
        }
        const running = find(body.val.requestId);
        if (running !== undefined) {
            this.keep(running);
        }
        const context = this.computed.get(body.val.requestId);
        if (context === undefined) {
            call.refuse(404, "nothing is known of this request");
            return;
        }
        const handle = Buffer.from(JSON.stringify(context)).toString("base64url");
        call.answer(200, { handle, tokens: context.tokens });
    }

    /** Handles `POST /v1/kv/import`. */
    import(call: StandInCall): void {
        const body = call.json(importSchema);
        const context = body.ok ? readHandle(body.val.handle) : undefined;
        if (body.err || context === undefined) {
            call.refuse(400, body.err ? body.val : "not a handle");
            return;
        }
        putBounded(this.imported, body.val.requestId, context);
        call.answer(204);
    }

    /** Forgets everything, as a restart does. */
    clear(): void {
        this.computed.clear();
        this.imported.clear();
    }
}

function readHandle(handle: string): Context | undefined {
    try {
        return handleSchema.parse(JSON.parse(Buffer.from(handle, "base64url").toString("utf8")));
    }
    catch {
        return undefined;
    }
}

function putBounded(contexts: Map<string, Context>, id: string, context: Context): void {
    contexts.delete(id);
    contexts.set(id, context);
    const [oldest] = contexts.keys();
    if (contexts.size > keptContexts && oldest !== undefined) {
        contexts.delete(oldest);
    }
}

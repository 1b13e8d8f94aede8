import { z } from "zod";
import type { StandInCall } from "../standInCall.js";
import type { Sequence } from "./sequence.js";

/** Maximum number of computed contexts kept for export, and of imported contexts; the oldest is dropped first. */
const maximumContexts = 1024;

const exportSchema = z.strictObject({ requestId: z.string().min(1) });
const importSchema = z.strictObject({ requestId: z.string().min(1), handle: z.string().min(1) });
const handleSchema = z.strictObject({ model: z.string(), prompt: z.string(), tokens: z.int().min(0) });

/** The key-value state of a request: its prompt and the number of context tokens that are computed. */
type KvContext = z.output<typeof handleSchema>;

/** Exports and imports the key-value state of requests, so that another engine does not have to prefill it again. */
export class KvTransfers {
    private readonly computedContexts = new Map<string, KvContext>();
    private readonly importedContexts = new Map<string, KvContext>();

    /** Stores the state of a sequence for export; called when it leaves the engine or an export is requested. */
    recordContext(sequence: Sequence): void {
        const { id, model, prompt } = sequence.request;
        const tokens = sequence.remainingPrefill === 0 && sequence.cachedTokens !== undefined
            ? sequence.contextTokens
            : 0;
        setBounded(this.computedContexts, id, { model, prompt, tokens });
    }

    /** Number of imported context tokens of a request, which need no prefill; 0 when model or prompt differ. */
    importedTokens(id: string, model: string, prompt: string): number {
        const context = this.importedContexts.get(id);
        return context?.model === model && context.prompt === prompt ? context.tokens : 0;
    }

    /**
     * Handles `POST /v1/kv/export`.
     *
     * @param find Looks up a sequence that is still in the engine by the id of its request.
     */
    export(call: StandInCall, find: (id: string) => Sequence | undefined): void {
        const body = call.parseBody(exportSchema);
        if (body.err) {
            call.respondWithError(400, body.val);
            return;
        }
        const running = find(body.val.requestId);
        if (running !== undefined) {
            this.recordContext(running);
        }
        const context = this.computedContexts.get(body.val.requestId);
        if (context === undefined) {
            call.respondWithError(404, "nothing is known of this request");
            return;
        }
        const handle = Buffer.from(JSON.stringify(context)).toString("base64url");
        call.respond(200, { handle, tokens: context.tokens });
    }

    /** Handles `POST /v1/kv/import`. */
    import(call: StandInCall): void {
        const body = call.parseBody(importSchema);
        const context = body.ok ? decodeHandle(body.val.handle) : undefined;
        if (body.err || context === undefined) {
            call.respondWithError(400, body.err ? body.val : "not a handle");
            return;
        }
        setBounded(this.importedContexts, body.val.requestId, context);
        call.respond(204);
    }

    /** Drops all contexts, as a restart does. */
    clear(): void {
        this.computedContexts.clear();
        this.importedContexts.clear();
    }
}

function decodeHandle(handle: string): KvContext | undefined {
    try {
        return handleSchema.parse(JSON.parse(Buffer.from(handle, "base64url").toString("utf8")));
    }
    catch {
        return undefined;
    }
}

function setBounded(contexts: Map<string, KvContext>, id: string, context: KvContext): void {
    contexts.delete(id);
    contexts.set(id, context);
    const [oldest] = contexts.keys();
    if (contexts.size > maximumContexts && oldest !== undefined) {
        contexts.delete(oldest);
    }
}

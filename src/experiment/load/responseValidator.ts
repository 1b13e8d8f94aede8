import { createParser } from "eventsource-parser";
import type { EventSourceParser } from "eventsource-parser";
import { z } from "zod";
import { promptText } from "../../standIn/modelEngine/completionBody.js";
import { expectedCompletion } from "../../standIn/modelEngine/deterministicCompletion.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Flow } from "./loadPlan.js";
import type { OutcomeKind } from "./requestOutcome.js";

const eventSchema = z.object({
    choices: z.array(z.object({ delta: z.object({ content: z.string().optional() }) })).optional(),
    error: z.object({ outcome: z.string().optional() }).optional(),
});

const errorBodySchema = z.object({ error: z.object({ outcome: z.enum(["notRun", "run", "unknown"]) }) });

const serviceResponseSchema = z.object({ echo: z.string() });

/** Collects one response as it arrives and validates it at the end. */
export class ResponseValidator {
    private readonly parser: EventSourceParser;
    private completionText = "";
    private rawBody = "";
    private receivedDone = false;
    private receivedInvalidEvent = false;
    private readonly arrivalTimes: Milliseconds[] = [];
    private chunkReceivedAt: Milliseconds = 0;

    /** @param requestContent The content of the request, from which the expected response follows. */
    constructor(private readonly flow: Flow, private readonly requestContent: string) {
        this.parser = createParser({
            onEvent: event => {
                this.handleEvent(event.data);
            },
        });
    }

    /** Arrival time of each token. */
    get tokenArrivalTimes(): readonly Milliseconds[] {
        return this.arrivalTimes;
    }

    /** Adds the next chunk of the body. */
    addChunk(status: number, chunk: string, now: Milliseconds): void {
        this.chunkReceivedAt = now;
        if (this.flow.kind === "chat" && status === 200) {
            this.parser.feed(chunk);
        }
        else {
            this.rawBody += chunk;
        }
    }

    /** Returns the outcome of the request after the end of its response. */
    validate(status: number): OutcomeKind {
        if (status !== 200) {
            return errorOutcomeOf(this.rawBody);
        }
        if (this.flow.kind === "service") {
            return this.validateServiceResponse(this.flow.method === "GET" ? "" : this.requestContent);
        }
        if (!this.receivedDone || this.receivedInvalidEvent) {
            return "cut";
        }
        const prompt = promptText({ messages: [{ role: "user", content: this.requestContent }] });
        return this.completionText === expectedCompletion(this.flow.model, prompt) ? "whole" : "wrong";
    }

    private validateServiceResponse(content: string): OutcomeKind {
        const response = serviceResponseSchema.safeParse(parseJson(this.rawBody));
        return response.data?.echo === content ? "whole" : "wrong";
    }

    private handleEvent(data: string): void {
        if (data === "[DONE]") {
            this.receivedDone = true;
            return;
        }
        const event = eventSchema.safeParse(parseJson(data)).data;
        this.receivedInvalidEvent ||= event === undefined || event.error !== undefined;
        const content = event?.choices?.[0]?.delta.content ?? "";
        if (content !== "") {
            this.completionText += content;
            this.arrivalTimes.push(this.chunkReceivedAt);
        }
    }
}

function errorOutcomeOf(body: string): OutcomeKind {
    return errorBodySchema.safeParse(parseJson(body)).data?.error.outcome ?? "unknown";
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

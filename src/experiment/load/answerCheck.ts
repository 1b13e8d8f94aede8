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

const failureSchema = z.object({ error: z.object({ outcome: z.enum(["notRun", "run", "unknown"]) }) });

const serviceAnswerSchema = z.object({ echo: z.string() });

/** Takes in one answer as it arrives and judges it at its end. */
export class AnswerCheck {
    private readonly parser: EventSourceParser;
    private text = "";
    private raw = "";
    private done = false;
    private failed = false;
    private readonly tokenTimes: Milliseconds[] = [];
    private now: Milliseconds = 0;

    /** @param content What was asked, as the flow sent it. */
    constructor(private readonly flow: Flow, private readonly content: string) {
        this.parser = createParser({
            onEvent: event => {
                this.takeEvent(event.data);
            },
        });
    }

    /** When each token arrived. */
    get times(): readonly Milliseconds[] {
        return this.tokenTimes;
    }

    /** Takes the next part of the body. */
    push(status: number, part: string, now: Milliseconds): void {
        this.now = now;
        if (this.flow.kind === "chat" && status === 200) {
            this.parser.feed(part);
        }
        else {
            this.raw += part;
        }
    }

    /** What became of the request whose answer has ended. */
    judge(status: number): OutcomeKind {
        if (status !== 200) {
            return refusalOf(this.raw);
        }
        if (this.flow.kind === "service") {
            return this.judgeService(this.flow.method === "GET" ? "" : this.content);
        }
        if (!this.done || this.failed) {
            return "cut";
        }
        const prompt = promptText({ messages: [{ role: "user", content: this.content }] });
        return this.text === expectedCompletion(this.flow.model, prompt) ? "whole" : "wrong";
    }

    private judgeService(content: string): OutcomeKind {
        const answer = serviceAnswerSchema.safeParse(parseJson(this.raw));
        return answer.data?.echo === content ? "whole" : "wrong";
    }

    private takeEvent(data: string): void {
        if (data === "[DONE]") {
            this.done = true;
            return;
        }
        const event = eventSchema.safeParse(parseJson(data)).data;
        this.failed ||= event === undefined || event.error !== undefined;
        const content = event?.choices?.[0]?.delta.content ?? "";
        if (content !== "") {
            this.text += content;
            this.tokenTimes.push(this.now);
        }
    }
}

function refusalOf(body: string): OutcomeKind {
    return failureSchema.safeParse(parseJson(body)).data?.error.outcome ?? "unknown";
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text) as unknown;
    }
    catch {
        return undefined;
    }
}

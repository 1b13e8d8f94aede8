import type { IncomingMessage } from "node:http";
import { headersTowardsEndpoint } from "../../../platform/callHeaders.js";
import { EndpointExchange } from "../../connection/hosted/endpointExchange.js";
import type { ExchangeHead } from "../../connection/hosted/endpointExchange.js";
import type { Milliseconds } from "../../util/clock.js";
import type { CallerAnswer } from "./callerAnswer.js";
import type { AdmittedCall, CallParts } from "./callParts.js";
import type { AnswerTraits, CallTraits } from "./callTraits.js";
import type { Placement } from "./endpointChooser.js";
import { EventSplitter } from "./eventSplitter.js";

/** Minimum time without data after which a call that may be retried is moved to another endpoint. */
const leastStall: Milliseconds = 1_200;

/** Stall timeout of a stream as a multiple of its route's target for the gap between events. */
const stalledPauses = 4;

/** Why a call did not run: the endpoint could not be reached, was at capacity, or was not the intended one. */
export type NotRunCause = "unreached" | "full" | "misdirected";

/** Result of an attempt at one endpoint. */
export type AttemptOutcome =
    /** The caller received the complete response. */
    | { readonly kind: "delivered"; }
    /** The call did not run at this endpoint. */
    | { readonly kind: "notRun"; readonly reason: string; readonly cause: NotRunCause; }
    /** The endpoint ran the call and responded with an error status. */
    | { readonly kind: "failedAnswer"; readonly message: IncomingMessage; readonly body: Buffer; }
    /** The call may have run, but its response is missing or incomplete. */
    | { readonly kind: "lost"; readonly reason: string; };

/** Result of an attempt that did not deliver a response to the caller. */
export type FailedOutcome = Exclude<AttemptOutcome, { kind: "delivered"; }>;

/** Inputs of an attempt. */
export interface AttemptParts {
    readonly call: AdmittedCall;
    readonly traits: CallTraits;
    readonly request: IncomingMessage;
    readonly answer: CallerAnswer;
    readonly placement: Placement;
    /** Time until the earlier of the caller's deadline and the route's timeout. */
    readonly remaining: Milliseconds;
    /** Whether the call may fail over to another endpoint if this one stalls. */
    readonly mayMove: boolean;
    /** Number of earlier attempts in which the call may have run. */
    readonly earlierRuns: number;
    /** Called when the endpoint has begun to respond. */
    readonly onBegun: () => void;
}

/** One attempt to run a call at one endpoint, including the forwarding of its response. */
export class EndpointAttempt {
    private readonly exchange: EndpointExchange;

    /** Sends the request. */
    constructor(private readonly attempt: AttemptParts, private readonly parts: CallParts) {
        const { call, request, placement: { endpoint }, remaining, answer } = attempt;
        const { method = "GET", url = "/", rawHeaders } = request;
        this.exchange = new EndpointExchange({
            agent: endpoint.agent,
            address: endpoint.record.address,
            method,
            target: url,
            headers: headersTowardsEndpoint(rawHeaders, {
                endpointId: endpoint.id,
                team: call.team?.name,
                remainingTime: remaining,
                urgency: call.service.engine === undefined ? undefined : call.urgency,
                lastEventId: answer.passedEventId,
            }),
            body: call.body,
        });
    }

    /** Aborts the attempt by closing its connection, upon which the endpoint stops processing the call. */
    cancel(reason: string): void {
        this.exchange.cancel(reason);
    }

    /** Forwards the response; resolves when the attempt has ended. */
    async run(): Promise<AttemptOutcome> {
        const limit = setTimeout(() => {
            this.cancel("the deadline of the call has passed");
        }, Math.max(1, this.attempt.remaining));
        try {
            return await this.takeHead(await this.awaitHead());
        }
        finally {
            clearTimeout(limit);
        }
    }

    /** Waits for the response headers; an endpoint that keeps responding to other calls is not considered stalled. */
    private async awaitHead(): Promise<ExchangeHead> {
        const watch = this.watchSilence(Math.max(leastStall, this.attempt.call.route.targetLatency));
        const head = await this.exchange.head();
        clearInterval(watch);
        return head;
    }

    private async takeHead(head: ExchangeHead): Promise<AttemptOutcome> {
        if (head.kind === "notSent") {
            return { kind: "notRun", reason: head.reason, cause: "unreached" };
        }
        if (head.kind === "lost") {
            return head;
        }
        const { message, traits } = head;
        this.noteHead(traits);
        const isForeign = traits.callId !== undefined && traits.callId !== this.attempt.traits.callId;
        if (traits.isNotRun && !isForeign) {
            message.resume();
            const cause = traits.isMisdirected ? "misdirected" : "full";
            return { kind: "notRun", reason: `status ${traits.status}`, cause };
        }
        const isSuccess = traits.status >= 200 && traits.status < 300;
        const fault = faultOf(traits, isForeign, isSuccess);
        if (fault !== undefined) {
            this.cancel(fault);
            return { kind: "lost", reason: fault };
        }
        return isSuccess && this.attempt.call.route.streaming ? this.relayStream(message) : this.relayWhole(message);
    }

    private noteHead(traits: AnswerTraits): void {
        const { endpoint } = this.attempt.placement;
        const now = this.parts.clock.now();
        endpoint.noteHeard(now);
        if (traits.closesConnection) {
            endpoint.noteClosing(now);
        }
        if (traits.load !== undefined) {
            endpoint.noteLoad(traits.load, now);
        }
    }

    private async relayWhole(message: IncomingMessage): Promise<AttemptOutcome> {
        const body = await readWhole(message);
        this.noteBegun();
        if (body === undefined || !this.exchange.isWhole(message)) {
            return { kind: "lost", reason: "the response ended before it was complete" };
        }
        const { answer, earlierRuns, placement } = this.attempt;
        if (message.statusCode === undefined || message.statusCode >= 300) {
            return { kind: "failedAnswer", message, body };
        }
        answer.passOn(message, body, earlierRuns + 1, placement.endpoint.id);
        return { kind: "delivered" };
    }

    /** Forwards events as they arrive; resolves when the stream has ended or was interrupted. */
    private async relayStream(message: IncomingMessage): Promise<AttemptOutcome> {
        const { answer, earlierRuns, placement: { endpoint } } = this.attempt;
        const splitter = new EventSplitter(answer.passedEventId);
        const { targetPause = 0 } = this.attempt.call.route;
        const stall = this.watchSilence(Math.max(leastStall, stalledPauses * targetPause));
        let hasBegun = false;
        try {
            for await (const chunk of message as AsyncIterable<Buffer>) {
                endpoint.noteHeard(this.parts.clock.now());
                const events = splitter.push(chunk);
                if (events === undefined) {
                    continue;
                }
                if (!hasBegun) {
                    hasBegun = true;
                    this.noteBegun();
                }
                await answer.passEvents(message, events.bytes, events.lastId);
            }
        }
        catch (error) {
            return { kind: "lost", reason: error instanceof Error ? error.message : String(error) };
        }
        finally {
            clearInterval(stall);
        }
        if (!this.exchange.isWhole(message)) {
            return { kind: "lost", reason: "the stream ended before it was complete" };
        }
        answer.endStream(message, splitter.incomplete, earlierRuns + 1, endpoint.id);
        return { kind: "delivered" };
    }

    /** Aborts an attempt that may fail over when no data of any call has arrived from its endpoint for too long. */
    private watchSilence(bound: Milliseconds): NodeJS.Timeout | undefined {
        const { mayMove, placement: { endpoint } } = this.attempt;
        return mayMove
            ? setInterval(() => {
                if (endpoint.silence(this.parts.clock.now()) > bound) {
                    this.cancel("no data from the endpoint within the stall timeout");
                }
            }, leastStall / 4)
            : undefined;
    }

    /**
     * Records that the endpoint began to run the call; counts usage only for the first run, since others continue it.
     */
    private noteBegun(): void {
        const { call: { team }, earlierRuns, onBegun } = this.attempt;
        onBegun();
        if (team !== undefined && earlierRuns === 0) {
            this.parts.counts.noteBegun(team.name, this.parts.medianClock.unixAt(this.parts.clock));
        }
    }
}

/** Reason why a response cannot be forwarded; undefined if it can. */
function faultOf(traits: AnswerTraits, isForeign: boolean, isSuccess: boolean): string | undefined {
    if (isForeign) {
        return "the response belongs to another call";
    }
    if (traits.isEncoded) {
        return "the response has a content encoding that the endpoint did not apply";
    }
    return isSuccess && (!traits.isProven || traits.callId === undefined)
        ? "the response has no signature or call identifier"
        : undefined;
}

/** Reads a response body to its end; undefined if the connection failed before. */
async function readWhole(message: IncomingMessage): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of message as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        return Buffer.concat(chunks);
    }
    catch {
        // The attempt reports the incomplete response.
        return undefined;
    }
}

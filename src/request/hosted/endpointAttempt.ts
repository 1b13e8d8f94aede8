import type { IncomingMessage } from "node:http";
import { requestHeadersForEndpoint } from "../../../platform/callHeaders.js";
import { EndpointExchange } from "../../connection/hosted/endpointExchange.js";
import type { ExchangeHead } from "../../connection/hosted/endpointExchange.js";
import type { Milliseconds } from "../../util/clock.js";
import type { AdmittedCall, CallParts } from "./callContext.js";
import type { CallerAnswer } from "./callerResponse.js";
import type { CallTraits, ResponseTraits } from "./callTraits.js";
import type { Placement } from "./endpointChooser.js";
import { EventSplitter } from "./eventSplitter.js";

/** Shortest silence after which a stream that may be resumed is moved to another endpoint. */
const leastStall: Milliseconds = 1_200;

/** Pauses of the target's length without an event after which such a stream is moved. */
const stalledPauses = 4;

/** Why a call has not run: it did not reach the endpoint, which had no room, or was not the one that was meant. */
export type NotRunCause = "unreached" | "full" | "misdirected";

/** How an attempt at one endpoint ended. */
export type AttemptOutcome =
    /** The caller has the whole answer. */
    | { readonly kind: "delivered"; }
    /** The call has not run there. */
    | { readonly kind: "notRun"; readonly reason: string; readonly cause: NotRunCause; }
    /** The endpoint ran the call and says that it failed. */
    | { readonly kind: "failedAnswer"; readonly message: IncomingMessage; readonly body: Buffer; }
    /** The call may have run, and its answer is lost. */
    | { readonly kind: "lost"; readonly reason: string; };

/** An attempt that did not give the caller its answer. */
export type FailedOutcome = Exclude<AttemptOutcome, { kind: "delivered"; }>;

/** What an attempt works on. */
export interface AttemptParts {
    readonly call: AdmittedCall;
    readonly traits: CallTraits;
    readonly request: IncomingMessage;
    readonly answer: CallerAnswer;
    readonly placement: Placement;
    /** Time until the caller or the route gives the call up. */
    readonly remaining: Milliseconds;
    /** Whether the call may be taken to another endpoint if this one stays silent. */
    readonly mayMove: boolean;
    /** Attempts before this one in which the call may have run. */
    readonly earlierRuns: number;
    /** Called when the endpoint has begun to answer. */
    readonly onBegun: () => void;
}

/** One call at one endpoint. */
export class EndpointAttempt {
    private readonly exchange: EndpointExchange;

    /** Sends the call. */
    constructor(private readonly attempt: AttemptParts, private readonly parts: CallParts) {
        const { call, request, placement: { endpoint }, remaining, answer } = attempt;
        const { method = "GET", url = "/", rawHeaders } = request;
        this.exchange = new EndpointExchange({
            agent: endpoint.agent,
            address: endpoint.record.address,
            method,
            target: url,
            headers: requestHeadersForEndpoint(rawHeaders, {
                endpointId: endpoint.id,
                team: call.team?.name,
                remainingTime: remaining,
                urgency: call.service.engine === undefined ? undefined : call.urgency,
                lastEventId: answer.passedEventId,
            }),
            body: call.body,
        });
    }

    /** Ends the attempt; the endpoint sees its connection close and stops working on the call. */
    cancel(reason: string): void {
        this.exchange.cancel(reason);
    }

    /** Relays the answer; resolves when the attempt has ended. */
    async run(): Promise<AttemptOutcome> {
        const limit = setTimeout(() => {
            this.cancel("the time of the call is over");
        }, Math.max(1, this.attempt.remaining));
        try {
            return await this.takeHead(await this.awaitHead());
        }
        finally {
            clearTimeout(limit);
        }
    }

    /** Waits for the head; a long wait alone is no fault of an endpoint that goes on answering other calls. */
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
        if (traits.wasNotExecuted && !isForeign) {
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

    private noteHead(traits: ResponseTraits): void {
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
            return { kind: "lost", reason: "the answer broke off" };
        }
        const { answer, earlierRuns, placement } = this.attempt;
        if (message.statusCode === undefined || message.statusCode >= 300) {
            return { kind: "failedAnswer", message, body };
        }
        answer.passOn(message, body, earlierRuns + 1, placement.endpoint.id);
        return { kind: "delivered" };
    }

    /** Passes events on as they come; resolves when the stream has ended or broken off. */
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
            return { kind: "lost", reason: "the stream broke off" };
        }
        answer.endStream(message, splitter.incomplete, earlierRuns + 1, endpoint.id);
        return { kind: "delivered" };
    }

    /** Takes a call that may move away from an endpoint of which nothing at all is heard for too long. */
    private watchSilence(bound: Milliseconds): NodeJS.Timeout | undefined {
        const { mayMove, placement: { endpoint } } = this.attempt;
        return mayMove
            ? setInterval(() => {
                if (endpoint.silence(this.parts.clock.now()) > bound) {
                    this.cancel("the endpoint is silent");
                }
            }, leastStall / 4)
            : undefined;
    }

    /** Notes that the endpoint has begun to run the call; a run that continues another one was counted with that. */
    private noteBegun(): void {
        const { call: { team }, earlierRuns, onBegun } = this.attempt;
        onBegun();
        if (team !== undefined && earlierRuns === 0) {
            this.parts.counts.noteBegun(team.name, this.parts.medianClock.unixAt(this.parts.clock));
        }
    }
}

/** Why an answer cannot be passed on; undefined where it can. */
function faultOf(traits: ResponseTraits, isForeign: boolean, isSuccess: boolean): string | undefined {
    if (isForeign) {
        return "the answer belongs to another call";
    }
    if (traits.hasContentEncoding) {
        return "the answer's body is not the endpoint's own";
    }
    return isSuccess && (!traits.hasSignature || traits.callId === undefined) ? "the answer is not proven" : undefined;
}

/** Reads an answer to its end; undefined where it broke off. */
async function readWhole(message: IncomingMessage): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of message as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        return Buffer.concat(chunks);
    }
    catch {
        // The attempt reports that the answer broke off.
        return undefined;
    }
}

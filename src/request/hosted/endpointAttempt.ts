import type { IncomingMessage } from "node:http";
import { requestHeadersForEndpoint } from "../../../platform/callHeaders.js";
import { hasFramedBody } from "../../connection/framedBody.js";
import { EndpointExchange } from "../../connection/hosted/endpointExchange.js";
import type { ExchangeHead } from "../../connection/hosted/endpointExchange.js";
import type { ResponseFault } from "../../connection/responseFault.js";
import type { Milliseconds } from "../../util/clock.js";
import type { AdmittedCall, CallContext } from "./callContext.js";
import type { CallerResponse } from "./callerResponse.js";
import type { CallTraits, ResponseTraits } from "./callTraits.js";
import type { Placement } from "./endpointChooser.js";
import { recordStatements } from "./endpointStatements.js";
import { EventSplitter } from "./eventSplitter.js";

/** Minimum time without data after which a call that may be retried is moved to another endpoint. */
const minimumStallTimeout: Milliseconds = 1_200;

/** Interval at which an attempt is checked for a stall. */
const stallCheckInterval = minimumStallTimeout / 4;

/** Time between two such checks from which on this process counts as suspended. */
const maximumStallCheckDelay = 2 * stallCheckInterval;

/** Stall timeout of a stream as a multiple of its route's target for the gap between events. */
const stallTimeoutInEventGaps = 4;

/** Time for which an endpoint must have been responding to a call not to crash because of it. */
const establishedTime: Milliseconds = 500;

/** Number of body bytes that are buffered before any is forwarded; until then the call may move to another endpoint. */
const bufferedBodyBytes = 64 * 1024;

/** Maximum number of responses to earlier calls that are skipped. */
const maximumSkippedResponses = 2;

/** Why a call did not run: the endpoint could not be reached, was at capacity, or was not the intended one. */
export type NotRunCause = "unreached" | "full" | "misdirected";

/** Result of an attempt at one endpoint. */
export type AttemptOutcome =
    /** The caller received the complete response. */
    | {
        readonly kind: "delivered";
        /** Whether the response had a length or chunks, so that it is known to be whole. */
        readonly isFramed: boolean;
    }
    /** The call did not run at this endpoint. */
    | { readonly kind: "notRun"; readonly reason: string; readonly cause: NotRunCause; }
    /** The endpoint ran the call and responded with an error status. */
    | { readonly kind: "failedAnswer"; readonly message: IncomingMessage; readonly body: Buffer; }
    /** The call may have run, but its response is missing or incomplete. */
    | {
        readonly kind: "lost";
        readonly reason: string;
        /** Undefined if this entry aborted the attempt. */
        readonly fault: ResponseFault | undefined;
        /** Whether the endpoint's side ended the connection, rather than this entry or the deadline. */
        readonly wasDisconnected: boolean;
    };

/** Result of an attempt that did not deliver a response to the caller. */
export type FailedOutcome = Exclude<AttemptOutcome, { kind: "delivered"; }>;

/** Inputs of an attempt. */
export interface AttemptInput {
    readonly call: AdmittedCall;
    readonly traits: CallTraits;
    readonly request: IncomingMessage;
    readonly callerResponse: CallerResponse;
    readonly placement: Placement;
    /** Time until the earlier of the caller's deadline and the route's timeout. */
    readonly remainingTime: Milliseconds;
    /** Whether the call may fail over to another endpoint if this one stalls; changes while the entry stops. */
    readonly mayFailOver: () => boolean;
    /** Number of earlier attempts in which the call may have run. */
    readonly earlierExecutions: number;
    /** Called when the endpoint has begun to respond. */
    readonly onResponseStarted: () => void;
    /** Called when the endpoint has been responding for so long that it does not crash because of the call. */
    readonly onEstablished: () => void;
}

/** One attempt to run a call at one endpoint, including the forwarding of its response. */
export class EndpointAttempt {
    private readonly exchange: EndpointExchange;
    private readonly cancelled = new AbortController();

    /** Sends the request. */
    constructor(private readonly input: AttemptInput, private readonly context: CallContext) {
        const { call, request, placement: { endpoint }, remainingTime, callerResponse } = input;
        const { method = "GET", url = "/", rawHeaders } = request;
        this.exchange = new EndpointExchange({
            agent: endpoint.agent,
            address: endpoint.record.address,
            method,
            target: url,
            headers: requestHeadersForEndpoint(rawHeaders, {
                endpointId: endpoint.id,
                team: call.team?.name,
                remainingTime,
                urgency: call.service.engine === undefined ? undefined : call.urgency,
                lastEventId: callerResponse.lastEventId,
            }),
            body: call.body,
        });
    }

    /** Whether the request may have been written. */
    get isSent(): boolean {
        return this.exchange.isSent;
    }

    /** Aborts the attempt by closing its connection, upon which the endpoint stops processing the call. */
    cancel(reason: string): void {
        this.cancelled.abort();
        this.exchange.cancel(reason);
    }

    /** Forwards the response; resolves when the attempt has ended. */
    async run(): Promise<AttemptOutcome> {
        const deadlineTimer = setTimeout(() => {
            this.cancel("the deadline of the call has passed");
        }, Math.max(1, this.input.remainingTime));
        try {
            return await this.handleHead(await this.awaitHead());
        }
        finally {
            clearTimeout(deadlineTimer);
        }
    }

    /**
     * Waits for the response headers, and skips responses to earlier calls where the call's own one can follow.
     *
     * An endpoint that keeps responding to other calls is not considered stalled.
     */
    private async awaitHead(): Promise<ExchangeHead> {
        const stallTimer = this.startStallTimer(Math.max(minimumStallTimeout, this.input.call.route.targetLatency));
        let head = await this.exchange.head();
        for (let skips = 0; skips < maximumSkippedResponses && this.namesOtherCall(head); skips++) {
            const next = head.kind === "response" ? await this.exchange.skip(head.message) : undefined;
            if (next === undefined) {
                break;
            }
            head = next;
        }
        clearInterval(stallTimer);
        return head;
    }

    private namesOtherCall(head: ExchangeHead): boolean {
        return head.kind === "response" && head.traits.callId !== undefined
            && head.traits.callId !== this.input.traits.callId;
    }

    private async handleHead(head: ExchangeHead): Promise<AttemptOutcome> {
        if (head.kind === "notSent") {
            return { kind: "notRun", reason: head.reason, cause: "unreached" };
        }
        if (head.kind === "lost") {
            return this.lost(head.reason);
        }
        const { message, traits } = head;
        const foreignReason = this.foreignReasonOf(traits);
        this.recordHead(traits, foreignReason === undefined);
        if (traits.wasNotExecuted && foreignReason === undefined) {
            this.exchange.discardBody(message);
            const cause = traits.isMisdirected ? "misdirected" : "full";
            return { kind: "notRun", reason: `status ${traits.status}`, cause };
        }
        const isSuccess = traits.status >= 200 && traits.status < 300;
        const invalidReason = foreignReason ?? invalidReasonOf(traits, isSuccess);
        if (invalidReason !== undefined) {
            this.cancel(invalidReason);
            return this.lost(invalidReason);
        }
        return isSuccess && this.input.call.route.streaming
            ? this.forwardStream(message)
            : this.forwardBody(message, isSuccess);
    }

    /**
     * Reason why a response may not belong to this attempt; undefined if it certainly does.
     *
     * An endpoint may send a response twice. On a connection that other calls have used, only the identifier tells which
     * call a response belongs to.
     */
    private foreignReasonOf({ callId }: ResponseTraits): string | undefined {
        if (callId === undefined) {
            return this.exchange.isNewConnection ? undefined : "the response does not name its call";
        }
        return callId === this.input.traits.callId ? undefined : "the response belongs to another call";
    }

    private lost(reason: string): AttemptOutcome {
        const { fault, isCancelled } = this.exchange;
        return { kind: "lost", reason, fault, wasDisconnected: !isCancelled };
    }

    /** @param isOwn Whether the response certainly belongs to this attempt. */
    private recordHead(traits: ResponseTraits, isOwn: boolean): void {
        const { endpoint } = this.input.placement;
        const now = this.context.clock.now();
        endpoint.recordData(now);
        if (this.exchange.isNewConnection) {
            this.context.reachability.recordConnection(now);
        }
        if (traits.closesConnection) {
            endpoint.recordConnectionClose(now);
        }
        recordStatements(endpoint, traits, isOwn, this.context, now);
    }

    /** Forwards a body that is not a stream of events: a short one at once, a long success as it arrives. */
    private async forwardBody(message: IncomingMessage, isSuccess: boolean): Promise<AttemptOutcome> {
        const { callerResponse, earlierExecutions, placement: { endpoint } } = this.input;
        const chunks: Buffer[] = [];
        let bufferedBytes = 0;
        try {
            for await (const chunk of this.exchange.body(message)) {
                endpoint.recordData(this.context.clock.now());
                chunks.push(chunk);
                bufferedBytes += chunk.length;
                if (bufferedBytes <= bufferedBodyBytes && !callerResponse.isBodyForwarded) {
                    continue;
                }
                if (!isSuccess) {
                    this.cancel("the body of an error is too long");
                    return this.lost("the body of an error is too long");
                }
                if (!callerResponse.isBodyForwarded) {
                    this.recordResponseStart();
                }
                await callerResponse.forwardChunk(message, Buffer.concat(chunks.splice(0)), this.cancelled.signal);
            }
        }
        catch (error) {
            return this.lost(error instanceof Error ? error.message : String(error));
        }
        if (callerResponse.isBodyForwarded) {
            return this.endForwarding(message, Buffer.alloc(0));
        }
        this.recordResponseStart();
        if (!this.exchange.isComplete(message) || (isSuccess && !await this.hasSoundEnd(message))) {
            return this.lost("the response ended before it was complete");
        }
        const body = Buffer.concat(chunks);
        if (!isSuccess) {
            return { kind: "failedAnswer", message, body };
        }
        callerResponse.forwardBuffered(message, body, earlierExecutions + 1, endpoint.id);
        return { kind: "delivered", isFramed: hasFramedBody(message) };
    }

    /**
     * Whether the end of a body that was read without an error is its own end.
     *
     * A body without a length or chunks ends with its connection, in order too if the process of the endpoint ends.
     */
    private async hasSoundEnd(message: IncomingMessage): Promise<boolean> {
        return hasFramedBody(message) || this.context.crashObserver.isListening(this.input.placement.endpoint);
    }

    private async endForwarding(message: IncomingMessage, trailingBytes: Buffer): Promise<AttemptOutcome> {
        const { callerResponse, earlierExecutions, placement: { endpoint } } = this.input;
        if (!this.exchange.isComplete(message) || !await this.hasSoundEnd(message)) {
            return this.lost("the response ended before it was complete");
        }
        callerResponse.endStream(message, trailingBytes, earlierExecutions + 1, endpoint.id);
        return { kind: "delivered", isFramed: hasFramedBody(message) };
    }

    /** Forwards events as they arrive; resolves when the stream has ended or was interrupted. */
    private async forwardStream(message: IncomingMessage): Promise<AttemptOutcome> {
        const { callerResponse, placement: { endpoint } } = this.input;
        const splitter = new EventSplitter(callerResponse.lastEventId);
        const { targetEventGap: eventGapTarget = 0 } = this.input.call.route;
        const stallTimer = this.startStallTimer(
            Math.max(minimumStallTimeout, stallTimeoutInEventGaps * eventGapTarget),
        );
        let startedAt: Milliseconds | undefined;
        let isEstablished = false;
        try {
            for await (const chunk of this.exchange.body(message)) {
                endpoint.recordData(this.context.clock.now());
                const events = splitter.push(chunk);
                if (splitter.isEventTooLong) {
                    this.cancel("an event of the stream is too long");
                    return this.lost("an event of the stream is too long");
                }
                if (events === undefined) {
                    continue;
                }
                const now = this.context.clock.now();
                if (startedAt === undefined) {
                    startedAt = now;
                    this.recordResponseStart();
                }
                else if (!isEstablished && now - startedAt >= establishedTime) {
                    isEstablished = true;
                    this.input.onEstablished();
                }
                await callerResponse.forwardEvents(message, events.bytes, events.lastId, this.cancelled.signal);
            }
        }
        catch (error) {
            return this.lost(error instanceof Error ? error.message : String(error));
        }
        finally {
            clearInterval(stallTimer);
        }
        const { incomplete } = splitter;
        return isBlank(incomplete)
            ? this.endForwarding(message, incomplete)
            : this.lost("the stream ended inside an event");
    }

    /** If the call may fail over, aborts the attempt once no data of any call has arrived from its endpoint in time. */
    private startStallTimer(stallTimeout: Milliseconds): NodeJS.Timeout | undefined {
        const { mayFailOver, placement: { endpoint } } = this.input;
        if (!mayFailOver()) {
            return undefined;
        }
        let checkedAt = this.context.clock.now();
        return setInterval(() => {
            const now = this.context.clock.now();
            // Bytes that arrived while this process was suspended are read only after its timers have run.
            const wasSuspended = now - checkedAt > maximumStallCheckDelay;
            checkedAt = now;
            if (!wasSuspended && endpoint.silentTime(now) > stallTimeout && mayFailOver()) {
                this.cancel("no data from the endpoint within the stall timeout");
            }
        }, stallCheckInterval);
    }

    /**
     * Records that the endpoint began to run the call; counts usage only for the first execution, because a later one
     * repeats or resumes the same call.
     */
    private recordResponseStart(): void {
        const { call: { team }, earlierExecutions, onResponseStarted } = this.input;
        onResponseStarted();
        if (team !== undefined && earlierExecutions === 0) {
            this.context.usageCounts.recordStart(
                team.name,
                this.context.medianClock.medianUnixTime(this.context.clock),
            );
        }
    }
}

function isBlank(bytes: Buffer): boolean {
    return bytes.toString("latin1").trim() === "";
}

/** Reason why a response cannot be forwarded; undefined if it can. */
function invalidReasonOf(traits: ResponseTraits, isSuccess: boolean): string | undefined {
    if (traits.hasContentEncoding) {
        return "the response has a content encoding that the endpoint did not apply";
    }
    return isSuccess && (!traits.hasSignature || traits.callId === undefined)
        ? "the response has no signature or call identifier"
        : undefined;
}

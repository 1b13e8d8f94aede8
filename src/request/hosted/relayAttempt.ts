import type { IncomingMessage } from "node:http";
import { readResponseTraits, requestHeadersForRelay } from "../../../platform/callHeaders.js";
import { EndpointExchange } from "../../connection/hosted/endpointExchange.js";
import { readEntryFailure } from "../../connection/hosted/relayedResponse.js";
import {
    readRelayedRun,
    readRelayOrigin,
    readRelayVersion,
    relayHeadersOf,
} from "../../connection/hosted/relayHeaders.js";
import type { ResponseFault } from "../../connection/responseFault.js";
import type { KnownRun } from "../../process/hosted/endpointRecord.js";
import type { Relay } from "../../process/hosted/entry/relayDirectory.js";
import type { StreamOrigin } from "../../process/hosted/streamOrigin.js";
import { definitionOf } from "../../resultCode/resultCode.js";
import type { ResultCode } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { AdmittedCall } from "./callContext.js";
import type { CallerResponse } from "./callerResponse.js";
import type { ResponseTraits } from "./callTraits.js";
import { EventSplitter } from "./eventSplitter.js";

/** Maximum size of a failure of the other entry, in bytes. */
const maximumFailureBytes = 64 * 1024;

/** Additional time for the response of the other entry, which keeps to the call's deadline itself. */
const deadlineAllowance: Milliseconds = 150;

/** Result of an attempt through another entry. */
export type RelayOutcome =
    /** The caller received the complete response. */
    | { readonly kind: "delivered"; }
    /** The other entry was not reached. */
    | { readonly kind: "unreached"; }
    /** The other entry refused the call, which has not run. */
    | { readonly kind: "refused"; readonly refusal: RelayRefusal; }
    /** The endpoint responded with an error status. */
    | { readonly kind: "failedAnswer"; readonly message: IncomingMessage; readonly body: Buffer; }
    /** The other entry gave the call up, which may have run. */
    | { readonly kind: "failed"; readonly code: ResultCode; }
    /** The call may have run, but its response is missing or incomplete. */
    | {
        readonly kind: "lost";
        /** Undefined if this entry aborted the attempt. */
        readonly fault: ResponseFault | undefined;
    };

/** Why another entry refused a call. */
export interface RelayRefusal {
    readonly code: ResultCode;
    /** Time after which the other entry would take the call; undefined if it states none. */
    readonly retryAfter: Milliseconds | undefined;
    /** Version of the configuration at the other entry; undefined if it states none. */
    readonly version: number | undefined;
}

/** Inputs of {@link RelayAttempt}. */
export interface RelayAttemptInput {
    readonly call: AdmittedCall;
    readonly request: IncomingMessage;
    readonly callerResponse: CallerResponse;
    readonly relay: Relay;
    /** Time until the earlier of the caller's deadline and the route's timeout. */
    readonly remainingTime: Milliseconds;
    /** Number of attempts in which the call may have run already. */
    readonly executions: number;
    /** What began the stream that the attempt continues; undefined if it begins one, or if that is not known. */
    readonly origin: StreamOrigin | undefined;
    /** Called with the head of an endpoint's response. */
    readonly onEndpointHead: (endpoint: KnownRun, traits: ResponseTraits) => void;
    /** Called when the first event has arrived, with what began the stream; undefined if that is not stated. */
    readonly onFirstEvent: (origin: StreamOrigin | undefined) => void;
}

/** One attempt to have a call run through another entry, including the forwarding of its response. */
export class RelayAttempt {
    private readonly exchange: EndpointExchange;
    private readonly cancelled = new AbortController();

    /** Sends the request. */
    constructor(private readonly input: RelayAttemptInput) {
        const { call, callerResponse, request, relay, remainingTime, executions, origin } = input;
        const { method = "GET", url = "/", rawHeaders } = request;
        const relayed = { team: call.team?.name, executions, version: call.version, origin };
        this.exchange = new EndpointExchange({
            agent: relay.agent,
            address: relay.address,
            method,
            target: url,
            headers: [
                ...requestHeadersForRelay(rawHeaders, remainingTime, callerResponse.lastEventId),
                ...relayHeadersOf(relayed, relay.token),
            ],
            body: call.body,
        });
    }

    /** Whether the request may have been written. */
    get isSent(): boolean {
        return this.exchange.isSent;
    }

    /** Aborts the attempt, upon which the other entry cancels the call at its endpoint. */
    cancel(reason: string): void {
        this.cancelled.abort();
        this.exchange.cancel(reason);
    }

    /** Forwards the response; resolves when the attempt has ended. */
    async run(): Promise<RelayOutcome> {
        const deadlineTimer = setTimeout(() => {
            this.cancel("the deadline of the call has passed");
        }, Math.max(1, this.input.remainingTime) + deadlineAllowance);
        try {
            const head = await this.exchange.head();
            if (head.kind !== "response") {
                return head.kind === "notSent" ? { kind: "unreached" } : this.lost();
            }
            const { status } = head.traits;
            const endpoint = readRelayedRun(head.message.headers);
            if (endpoint !== undefined) {
                this.input.onEndpointHead(endpoint, head.traits);
            }
            if (status < 200 || status >= 300) {
                return await this.readFailure(head.message);
            }
            return this.input.call.route.streaming
                ? await this.forwardStream(head.message)
                : await this.forwardBody(head.message);
        }
        catch {
            return this.lost();
        }
        finally {
            clearTimeout(deadlineTimer);
        }
    }

    private lost(): RelayOutcome {
        return { kind: "lost", fault: this.exchange.fault };
    }

    private async forwardBody(message: IncomingMessage): Promise<RelayOutcome> {
        const { callerResponse } = this.input;
        for await (const chunk of this.exchange.body(message)) {
            await callerResponse.forwardChunk(message, chunk, this.cancelled.signal);
        }
        return this.endForwarding(message, Buffer.alloc(0));
    }

    /** Forwards whole events only, so that another attempt can continue behind the last one. */
    private async forwardStream(message: IncomingMessage): Promise<RelayOutcome> {
        const { callerResponse, onFirstEvent } = this.input;
        const splitter = new EventSplitter(callerResponse.lastEventId);
        let hasBegun = false;
        for await (const chunk of this.exchange.body(message)) {
            const events = splitter.push(chunk);
            if (splitter.isEventTooLong) {
                this.cancel("an event of the stream is too long");
                return this.lost();
            }
            if (events === undefined) {
                continue;
            }
            if (!hasBegun) {
                hasBegun = true;
                onFirstEvent(readRelayOrigin(message.headers));
            }
            await callerResponse.forwardEvents(message, events.bytes, events.lastId, this.cancelled.signal);
        }
        return this.endForwarding(message, splitter.incomplete);
    }

    private endForwarding(message: IncomingMessage, trailingBytes: Buffer): RelayOutcome {
        const { callerResponse, relay, executions } = this.input;
        if (!this.exchange.isComplete(message)) {
            return this.lost();
        }
        callerResponse.endStream(message, trailingBytes, executions + 1, relay.entry);
        return { kind: "delivered" };
    }

    private async readFailure(message: IncomingMessage): Promise<RelayOutcome> {
        const chunks: Buffer[] = [];
        let byteCount = 0;
        for await (const chunk of this.exchange.body(message)) {
            byteCount += chunk.length;
            chunks.push(chunk);
            if (byteCount > maximumFailureBytes) {
                this.cancel("the body of an error is too long");
                return this.lost();
            }
        }
        if (!this.exchange.isComplete(message)) {
            return this.lost();
        }
        const body = Buffer.concat(chunks);
        const { hasSignature, retryAfter } = readResponseTraits(message);
        const code = readEntryFailure(message, body, hasSignature);
        if (code === undefined) {
            return { kind: "failedAnswer", message, body };
        }
        if (definitionOf(code).outcome !== "notRun") {
            return { kind: "failed", code };
        }
        const delay = retryAfter?.kind === "delay" ? retryAfter.duration : undefined;
        return { kind: "refused", refusal: { code, retryAfter: delay, version: readRelayVersion(message.headers) } };
    }
}

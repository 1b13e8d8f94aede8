import type { IncomingMessage } from "node:http";
import { readResponseTraits, requestHeadersForRelay } from "../../../platform/callHeaders.js";
import { EndpointExchange } from "../../connection/hosted/endpointExchange.js";
import { relayHeadersOf } from "../../connection/hosted/relayHeaders.js";
import type { Relay } from "../../process/hosted/entry/relayDirectory.js";
import type { Milliseconds } from "../../util/clock.js";
import type { AdmittedCall } from "./callContext.js";
import type { CallerResponse } from "./callerResponse.js";

/** Maximum size of a failure of the other entry, in bytes. */
const maximumFailureBytes = 64 * 1024;

/** Additional time for the response of the other entry, which keeps to the call's deadline itself. */
const deadlineAllowance: Milliseconds = 150;

/** Status code 503 (Service Unavailable): the other entry states that the call has not run. */
const refusedStatus = 503;

/** Result of an attempt through another entry. */
export type RelayOutcome =
    /** The caller received the complete response. */
    | { readonly kind: "delivered"; }
    /** The other entry could not be reached, or refused the call, which has not run. */
    | { readonly kind: "notRun"; readonly refusal: RelayedFailure | undefined; }
    /** The other entry or its endpoint responded with an error status. */
    | { readonly kind: "failed"; readonly failure: RelayedFailure; }
    /** The call may have run, but its response is missing or incomplete. */
    | { readonly kind: "lost"; };

/** An error response that was relayed whole. */
export interface RelayedFailure {
    readonly message: IncomingMessage;
    readonly body: Buffer;
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
}

/** One attempt to have a call run through another entry, including the forwarding of its response. */
export class RelayAttempt {
    private readonly exchange: EndpointExchange;
    private readonly cancelled = new AbortController();

    /** Sends the request. */
    constructor(private readonly input: RelayAttemptInput) {
        const { call, request, relay, remainingTime, executions } = input;
        const { method = "GET", url = "/", rawHeaders } = request;
        this.exchange = new EndpointExchange({
            agent: relay.agent,
            address: relay.address,
            method,
            target: url,
            headers: [
                ...requestHeadersForRelay(rawHeaders, remainingTime),
                ...relayHeadersOf({ team: call.team?.name, executions }, relay.token),
            ],
            body: call.body,
        });
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
                return head.kind === "notSent" ? { kind: "notRun", refusal: undefined } : { kind: "lost" };
            }
            const { status } = head.traits;
            return status >= 200 && status < 300
                ? await this.forward(head.message)
                : await this.readFailure(head.message);
        }
        catch {
            return { kind: "lost" };
        }
        finally {
            clearTimeout(deadlineTimer);
        }
    }

    private async forward(message: IncomingMessage): Promise<RelayOutcome> {
        const { callerResponse, relay, executions } = this.input;
        for await (const chunk of this.exchange.body(message)) {
            await callerResponse.forwardChunk(message, chunk, this.cancelled.signal);
        }
        if (!this.exchange.isComplete(message)) {
            return { kind: "lost" };
        }
        callerResponse.endStream(message, Buffer.alloc(0), executions + 1, relay.entry);
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
                return { kind: "lost" };
            }
        }
        if (!this.exchange.isComplete(message)) {
            return { kind: "lost" };
        }
        const failure = { message, body: Buffer.concat(chunks) };
        const { status, hasSignature } = readResponseTraits(message);
        return status === refusedStatus && !hasSignature
            ? { kind: "notRun", refusal: failure }
            : { kind: "failed", failure };
    }
}

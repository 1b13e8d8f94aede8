import type { IncomingMessage } from "node:http";
import { readEntryFailure } from "../../connection/hosted/relayedResponse.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { waitForSocketPoll } from "../../util/waitForSocketPoll.js";
import type { AdmittedCall, CallContext } from "./callContext.js";
import type { CallerResponse } from "./callerResponse.js";
import type { CallTraits } from "./callTraits.js";
import { RelayAttempt } from "./relayAttempt.js";
import type { RelayedFailure, RelayOutcome } from "./relayAttempt.js";

/** Maximum number of other entries that one call is sent to. */
const maximumRelays = 2;

/** Dependencies of {@link CallDetour}. */
export interface CallDetourInput {
    readonly request: IncomingMessage;
    readonly traits: CallTraits;
    readonly callerResponse: CallerResponse;
    readonly context: CallContext;
    /** Time until the earlier of the caller's deadline and the route's timeout. */
    readonly remainingTime: (call: AdmittedCall) => Milliseconds;
    /** Refuses the call if its key, its route or the permit has lapsed; returns whether it did. */
    readonly refuseIfWithdrawn: (call: AdmittedCall) => boolean;
}

/** Sends a call through other entries while this one is cut off from all endpoints. */
export class CallDetour {
    private attempt: RelayAttempt | undefined;

    constructor(private readonly input: CallDetourInput) {}

    /** Whether a call should be sent through another entry. */
    isNeeded(now: Milliseconds): boolean {
        const { reachability, relays } = this.input.context;
        return reachability.isCutOff && relays.choose(new Set(), now) !== undefined;
    }

    /** Aborts the attempt that is under way. */
    cancel(reason: string): void {
        this.attempt?.cancel(reason);
    }

    /**
     * Tries other entries one after the other.
     *
     * @param executions Number of attempts in which the call may have run already.
     * @returns Whether the caller has got its final response; if not, the call has not run at any of them.
     */
    async run(call: AdmittedCall, executions: number): Promise<boolean> {
        const { request, traits, callerResponse, context, remainingTime, refuseIfWithdrawn } = this.input;
        const tried = new Set<string>();
        let refusal: RelayedFailure | undefined;
        for (let count = 0; count < maximumRelays; count++) {
            const relay = context.relays.choose(tried, context.clock.now());
            if (relay === undefined || remainingTime(call) <= 0) {
                break;
            }
            if (refuseIfWithdrawn(call)) {
                return true;
            }
            tried.add(relay.address);
            context.counters.count("relayed");
            context.eventLog.write("callRelayed", {
                requestId: traits.callId,
                attempt: tried.size,
                entry: relay.entry,
                version: call.version,
                lastEventId: callerResponse.lastEventId,
            });
            const sentAt = context.clock.now();
            this.attempt = new RelayAttempt({
                call,
                request,
                callerResponse,
                relay,
                remainingTime: remainingTime(call),
                executions,
            });
            const outcome = await context.relays.countWhile(relay, this.attempt.run());
            this.attempt = undefined;
            await waitForSocketPoll();
            this.logOutcome(outcome, call, {
                attempt: tried.size,
                entry: relay.entry,
                elapsed: context.clock.now() - sentAt,
            });
            if (outcome.kind === "delivered" || callerResponse.hasCallerDisconnected()) {
                return true;
            }
            if (outcome.kind === "failed") {
                this.forward(outcome.failure, executions + 1);
                return true;
            }
            if (outcome.kind === "lost") {
                callerResponse.fail(failure("callOutcomeUnknown"), call);
                return true;
            }
            refusal = outcome.refusal ?? refusal;
        }
        if (refusal !== undefined) {
            this.forward(refusal, executions);
        }
        return refusal !== undefined;
    }

    private logOutcome(
        outcome: RelayOutcome,
        { version }: AdmittedCall,
        { attempt, entry, elapsed }: {
            readonly attempt: number;
            readonly entry: string;
            readonly elapsed: Milliseconds;
        },
    ): void {
        const { callerResponse, context, traits } = this.input;
        if (outcome.kind === "delivered" || callerResponse.hasCallerDisconnected()) {
            return;
        }
        const failed = outcome.kind === "failed" ? outcome.failure : undefined;
        const received = outcome.kind === "notRun" ? outcome.refusal : failed;
        context.eventLog.write("relayAttemptFailed", {
            requestId: traits.callId,
            attempt,
            entry,
            outcome: outcome.kind,
            code: received && readEntryFailure(received.message, received.body, false),
            status: received?.message.statusCode,
            version,
            elapsed: Math.round(elapsed),
        });
    }

    private forward({ message, body }: RelayedFailure, attempts: number): void {
        this.input.callerResponse.forwardBuffered(message, body, attempts, "");
    }
}

import type { IncomingMessage, ServerResponse } from "node:http";
import { readCallTraits } from "../../../platform/callHeaders.js";
import { createCallerAbortSignal } from "../../connection/callerAbortSignal.js";
import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { waitForSocketPoll } from "../../util/waitForSocketPoll.js";
import type { DeployedRoute } from "../../version/deployment.js";
import { admitCall } from "./callAdmission.js";
import type { AdmittedCall, CallContext } from "./callContext.js";
import { CallerResponse } from "./callerResponse.js";
import type { CallTraits } from "./callTraits.js";
import { EndpointAttempt } from "./endpointAttempt.js";
import type { AttemptOutcome, FailedOutcome } from "./endpointAttempt.js";
import type { Placement, PlacementRequest } from "./endpointChooser.js";
import { decideRetry } from "./retryRule.js";

/** Minimum remaining time for another attempt. */
const minimumAttemptTime: Milliseconds = 50;

/** Lower bound of the random `retry-after` time of a refused call; it is drawn from once to twice this value. */
const minimumRetryAfter: Milliseconds = 400;

/** Maximum `retry-after` time as a fraction of the call's remaining time. */
const maximumRetryAfterFraction = 0.3;

/**
 * Predicted wait above which a call is refused, as a multiple of its route's target latency: it would miss the target.
 */
const refusalWaitFactor = 1.25;

/**
 * Maximum predicted wait of a call that is probably the caller's retry of a refused one, as a fraction of its remaining
 * time; the call has already waited since that refusal.
 */
const retriedCallWaitFraction = 0.5;

/** Handles one call, from its request headers to its final response. */
export class HostedCall {
    private readonly traits: CallTraits;
    private readonly arrivedAt: Milliseconds;
    private readonly callerResponse: CallerResponse;
    private readonly triedEndpoints = new Set<HostedEndpoint>();
    private attempt: EndpointAttempt | undefined;
    /** When the newest attempt began; undefined before the first one. */
    private dispatchedAt: Milliseconds | undefined;
    /** Number of attempts in which the call may have run. */
    private executions = 0;
    /** Number of attempts that an endpoint rejected; also counts a refusal because of the predicted wait. */
    private rejections = 0;

    constructor(
        private readonly request: IncomingMessage,
        response: ServerResponse,
        private readonly context: CallContext,
    ) {
        this.traits = readCallTraits(request.headers);
        this.arrivedAt = context.clock.now();
        const abortSignal = createCallerAbortSignal(request, response);
        this.callerResponse = new CallerResponse(response, this.traits, context, this.arrivedAt, abortSignal);
        abortSignal.addEventListener("abort", () => {
            this.attempt?.cancel("the caller disconnected");
        }, { once: true });
    }

    /** Handles the call; resolves when the response is complete or aborted. */
    async run(): Promise<void> {
        const call = await admitCall(this.request, this.traits, this.context);
        if (call.ok) {
            this.context.retryBudget.recordCall(call.val.service.name, this.context.clock.now());
            await this.serve(call.val);
        }
        else {
            this.request.resume();
            this.callerResponse.refuse(call.val);
        }
        if (this.callerResponse.hasCallerDisconnected()) {
            this.context.counters.count("left");
            this.context.eventLog.write("callLeft", {
                requestId: this.traits.callId,
                waited: this.callerResponse.elapsedTime(),
                attempts: this.triedEndpoints.size,
                sinceDispatch: this.dispatchedAt === undefined
                    ? undefined
                    : Math.round(this.context.clock.now() - this.dispatchedAt),
            });
        }
    }

    private async serve(call: AdmittedCall): Promise<void> {
        while (!this.callerResponse.hasCallerDisconnected()) {
            const placement = this.remainingTime(call.route) < minimumAttemptTime ? undefined : this.place(call);
            if (placement === undefined) {
                this.failOrRefuse(call);
                return;
            }
            if (this.triedEndpoints.size === 0 && this.wouldMissTarget(call, placement)) {
                this.rejections++;
                this.failOrRefuse(call);
                return;
            }
            const outcome = await this.runAttempt(call, placement);
            if (outcome.kind === "delivered") {
                return;
            }
            await waitForSocketPoll();
            if (this.callerResponse.hasCallerDisconnected()) {
                return;
            }
            if (!this.mayRetry(call, outcome)) {
                this.respondToFailure(call, outcome, placement);
                return;
            }
        }
    }

    /**
     * Whether the call should be refused because of its predicted wait: it would miss its target and delay other calls,
     * and a later retry by the caller may find shorter queues.
     */
    private wouldMissTarget(call: AdmittedCall, { predictedWait }: Placement): boolean {
        const { retryDetector, clock } = this.context;
        if (call.service.engine === undefined) {
            return false;
        }
        const isRetried = retryDetector.isLikelyRetry(call.route, this.traits.remainingTime, clock.now());
        const longestWait = isRetried
            ? this.remainingTime(call.route) * retriedCallWaitFraction
            : call.route.targetLatency * refusalWaitFactor;
        return predictedWait > longestWait;
    }

    /** Time until the earlier of the caller's deadline and the route's timeout. */
    private remainingTime(route: DeployedRoute): Milliseconds {
        const timeout = Math.min(this.traits.remainingTime ?? Infinity, route.timeout);
        return timeout - (this.context.clock.now() - this.arrivedAt);
    }

    private place(call: AdmittedCall): Placement | undefined {
        const { chooser, fleet, clock } = this.context;
        return chooser.choose(this.placementRequest(call), fleet.serving(call.service.name), clock.now());
    }

    private placementRequest(
        { route, service, urgency, minimumEventGapTarget }: AdmittedCall,
    ): PlacementRequest {
        return {
            route,
            service,
            urgency,
            minimumEventGapTarget,
            traits: this.traits,
            excluded: this.triedEndpoints,
        };
    }

    private async runAttempt(call: AdmittedCall, placement: Placement): Promise<AttemptOutcome> {
        const { endpoint, uncachedTokens } = placement;
        const { clock, chooser } = this.context;
        const { route } = call;
        const sentAt = clock.now();
        const outstandingCall = { pendingPrefillTokens: uncachedTokens, urgency: call.urgency, sentAt };
        this.dispatchedAt = sentAt;
        this.triedEndpoints.add(endpoint);
        endpoint.addCall(outstandingCall, sentAt);
        this.logDispatch(call, placement);
        this.attempt = new EndpointAttempt({
            call,
            traits: this.traits,
            request: this.request,
            callerResponse: this.callerResponse,
            placement,
            remainingTime: this.remainingTime(route),
            mayFailOver: route.repeatRule === "repeatable" && this.executions + 1 < route.maximumAttempts,
            earlierExecutions: this.executions,
            onResponseStarted: () => {
                outstandingCall.pendingPrefillTokens = 0;
                chooser.recordStart(this.placementRequest(call), placement, clock.now() - sentAt, clock.now());
            },
        }, this.context);
        const outcome = await this.attempt.run();
        this.attempt = undefined;
        endpoint.removeCall(outstandingCall);
        this.executions += outcome.kind === "notRun" ? 0 : 1;
        this.recordOutcome(endpoint, outcome, sentAt);
        return outcome;
    }

    /** Whether the call may be retried at another endpoint; a retry that counts is taken from the retry budget. */
    private mayRetry({ route, service }: AdmittedCall, outcome: FailedOutcome): boolean {
        const { retryBudget, fleet, entryCount, clock } = this.context;
        const hasUntriedEndpoint = fleet.serving(service.name).some(endpoint => !this.triedEndpoints.has(endpoint));
        if (!hasUntriedEndpoint || this.remainingTime(route) < minimumAttemptTime) {
            return false;
        }
        this.rejections += outcome.kind === "notRun" && outcome.cause !== "unreached" ? 1 : 0;
        const decision = decideRetry(outcome, route, this.executions, this.rejections);
        return decision === "free"
            || (decision === "counted" && retryBudget.tryTakeRetry(service.name, entryCount(), clock.now()));
    }

    /** Sends the final response after the last attempt failed. */
    private respondToFailure(call: AdmittedCall, outcome: FailedOutcome, { endpoint }: Placement): void {
        if (outcome.kind === "failedAnswer") {
            this.callerResponse.forwardBuffered(outcome.message, outcome.body, this.executions, endpoint.id);
            return;
        }
        if (this.executions === 0) {
            this.failOrRefuse(call);
            return;
        }
        const isLate = this.remainingTime(call.route) < minimumAttemptTime;
        this.callerResponse.fail(failure(isLate ? "callTimedOutAtEndpoint" : "callOutcomeUnknown"), call);
    }

    /** Ends a call for which no endpoint is left: fails it if it may have run, otherwise refuses it. */
    private failOrRefuse(call: AdmittedCall): void {
        if (this.executions > 0) {
            this.callerResponse.fail(failure("callOutcomeUnknown"), call);
            return;
        }
        const code = this.rejections > 0 ? "endpointsBusy" : "noEndpointAvailable";
        this.callerResponse.refuse({ reason: failure(code), call, retryAfter: this.chooseRetryAfter(call.route) });
    }

    private chooseRetryAfter(route: DeployedRoute): Milliseconds {
        const longest = Math.max(0, this.remainingTime(route)) * maximumRetryAfterFraction;
        return Math.min(longest, minimumRetryAfter * (1 + this.context.random.float()));
    }

    /** Updates the endpoint's health from the outcome of an attempt, and logs a failed one. */
    private recordOutcome(endpoint: HostedEndpoint, outcome: AttemptOutcome, sentAt: Milliseconds): void {
        const now = this.context.clock.now();
        if (outcome.kind === "delivered") {
            endpoint.recordSuccess();
            return;
        }
        if (this.callerResponse.hasCallerDisconnected()) {
            return;
        }
        if (outcome.kind === "failedAnswer") {
            endpoint.recordErrorResponse();
        }
        else if (outcome.kind === "notRun" && outcome.cause === "full") {
            endpoint.recordAtCapacity(now);
        }
        else {
            endpoint.recordFailure(now);
        }
        this.context.counters.count("attemptFailed");
        this.context.eventLog.write("callAttemptFailed", {
            requestId: this.traits.callId,
            attempt: this.triedEndpoints.size,
            endpoint: endpoint.id,
            outcome: outcome.kind,
            reason: outcome.kind === "failedAnswer" ? `status ${outcome.message.statusCode ?? 0}` : outcome.reason,
            elapsed: Math.round(now - sentAt),
        });
    }

    private logDispatch(call: AdmittedCall, { endpoint, predictedWait }: Placement): void {
        const { fleet, view, clock, suspensionDetector, counters, eventLog } = this.context;
        counters.count("dispatched");
        eventLog.write("callDispatched", {
            requestId: this.traits.callId,
            attempt: this.triedEndpoints.size,
            endpoint: endpoint.id,
            version: call.version,
            outstanding: endpoint.outstandingCount,
            predictedWait: Math.round(predictedWait),
            listAge: fleet.listAge(clock.now()),
            permitAge: view.loggedPermitAge(suspensionDetector.now()),
            remaining: Math.round(this.remainingTime(call.route)),
        });
    }
}

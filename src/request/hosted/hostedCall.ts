import type { IncomingMessage, ServerResponse } from "node:http";
import { readCallTraits } from "../../../platform/callHeaders.js";
import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { DeployedRoute } from "../../version/deployment.js";
import { admitCall } from "./callAdmission.js";
import { CallerAnswer } from "./callerAnswer.js";
import type { AdmittedCall, CallParts } from "./callParts.js";
import type { CallTraits } from "./callTraits.js";
import { EndpointAttempt } from "./endpointAttempt.js";
import type { AttemptOutcome, FailedOutcome } from "./endpointAttempt.js";
import type { CallToPlace, Placement } from "./endpointChooser.js";
import { repeatAfter } from "./repeatRule.js";

/** Minimum remaining time for another attempt. */
const leastAttemptTime: Milliseconds = 50;

/** Lower bound of the random `retry-after` time of a refused call; it is drawn from once to twice this value. */
const leastRetryAfter: Milliseconds = 400;

/** Maximum `retry-after` time as a fraction of the call's remaining time. */
const retryAfterFraction = 0.3;

/**
 * Predicted wait above which a call is refused, as a multiple of its route's target latency: it would miss the target.
 */
const lateFactor = 1.25;

/** Fraction of its remaining time that a retried call may wait; it has already waited in its earlier attempts. */
const returningFraction = 0.5;

/** Handles one call, from its request headers to its final response. */
export class HostedCall {
    private readonly traits: CallTraits;
    private readonly arrivedAt: Milliseconds;
    private readonly answer: CallerAnswer;
    private readonly tried = new Set<HostedEndpoint>();
    private attempt: EndpointAttempt | undefined;
    /** Number of attempts in which the call may have run. */
    private runs = 0;
    private rejections = 0;

    constructor(
        private readonly request: IncomingMessage,
        response: ServerResponse,
        private readonly parts: CallParts,
    ) {
        this.traits = readCallTraits(request.headers);
        this.arrivedAt = parts.clock.now();
        this.answer = new CallerAnswer(response, this.traits, parts, this.arrivedAt, () => {
            this.attempt?.cancel("the caller disconnected");
        });
    }

    /** Handles the call; resolves when the response is complete or aborted. */
    async run(): Promise<void> {
        const call = await admitCall(this.request, this.traits, this.parts);
        if (call.ok) {
            this.parts.allowance.noteCall(call.val.service.name, this.parts.clock.now());
            await this.serve(call.val);
        }
        else {
            this.request.resume();
            this.answer.refuse(call.val);
        }
        if (this.answer.hasCallerLeft()) {
            this.parts.counters.count("left");
            this.parts.eventLog.write("callLeft", { requestId: this.traits.callId, waited: this.answer.elapsed() });
        }
    }

    private async serve(call: AdmittedCall): Promise<void> {
        while (!this.answer.hasCallerLeft()) {
            const placement = this.remaining(call.route) < leastAttemptTime ? undefined : this.place(call);
            if (placement === undefined) {
                this.giveUp(call);
                return;
            }
            if (this.tried.size === 0 && this.isHopeless(call, placement)) {
                this.rejections++;
                this.giveUp(call);
                return;
            }
            const outcome = await this.attemptAt(call, placement);
            if (outcome.kind === "delivered" || this.answer.hasCallerLeft()) {
                return;
            }
            if (!this.mayGoOn(call, outcome)) {
                this.finish(call, outcome, placement);
                return;
            }
        }
    }

    /** Whether the call would miss its target and delay others, so that a retry with a shorter queue is better. */
    private isHopeless(call: AdmittedCall, { predictedWait }: Placement): boolean {
        const { patience, clock } = this.parts;
        if (call.service.engine === undefined) {
            return false;
        }
        const isReturning = patience.isReturning(call.route, this.traits.patience, clock.now());
        const bound = isReturning
            ? this.remaining(call.route) * returningFraction
            : call.route.targetLatency * lateFactor;
        return predictedWait > bound;
    }

    /** Time until the earlier of the caller's deadline and the route's timeout. */
    private remaining(route: DeployedRoute): Milliseconds {
        const patience = Math.min(this.traits.patience ?? Infinity, route.timeout);
        return patience - (this.parts.clock.now() - this.arrivedAt);
    }

    private place(call: AdmittedCall): Placement | undefined {
        const { chooser, fleet, clock } = this.parts;
        return chooser.choose(this.toPlace(call), fleet.serving(call.service.name), clock.now());
    }

    private toPlace({ route, service, urgency, shortestPause }: AdmittedCall): CallToPlace {
        return { route, service, urgency, shortestPause, traits: this.traits, excluded: this.tried };
    }

    private async attemptAt(call: AdmittedCall, placement: Placement): Promise<AttemptOutcome> {
        const { endpoint, unreadTokens } = placement;
        const { clock, chooser } = this.parts;
        const { route } = call;
        const sentAt = clock.now();
        const outstanding = { pendingTokens: unreadTokens, urgency: call.urgency, sentAt };
        this.tried.add(endpoint);
        endpoint.begin(outstanding, sentAt);
        this.logDispatch(call, placement);
        this.attempt = new EndpointAttempt({
            call,
            traits: this.traits,
            request: this.request,
            answer: this.answer,
            placement,
            remaining: this.remaining(route),
            mayMove: route.repeatRule === "repeatable" && this.runs + 1 < route.maximumAttempts,
            earlierRuns: this.runs,
            onBegun: () => {
                outstanding.pendingTokens = 0;
                chooser.noteBegun(this.toPlace(call), placement, clock.now() - sentAt, clock.now());
            },
        }, this.parts);
        const outcome = await this.attempt.run();
        this.attempt = undefined;
        endpoint.end(outstanding);
        this.runs += outcome.kind === "notRun" ? 0 : 1;
        this.note(endpoint, outcome, sentAt);
        return outcome;
    }

    /** Whether the call may be retried at another endpoint; a retry that counts is taken from the retry budget. */
    private mayGoOn({ route, service }: AdmittedCall, outcome: FailedOutcome): boolean {
        const { allowance, fleet, entryCount, clock } = this.parts;
        const untried = fleet.serving(service.name).some(endpoint => !this.tried.has(endpoint));
        if (!untried || this.remaining(route) < leastAttemptTime) {
            return false;
        }
        this.rejections += outcome.kind === "notRun" && outcome.cause !== "unreached" ? 1 : 0;
        const repeat = repeatAfter(outcome, route, this.runs, this.rejections);
        return repeat === "free"
            || (repeat === "counted" && allowance.takeRepeat(service.name, entryCount(), clock.now()));
    }

    /** Sends the final response after the last attempt failed. */
    private finish(call: AdmittedCall, outcome: FailedOutcome, { endpoint }: Placement): void {
        if (outcome.kind === "failedAnswer") {
            this.answer.passOn(outcome.message, outcome.body, this.runs, endpoint.id);
            return;
        }
        if (this.runs === 0) {
            this.giveUp(call);
            return;
        }
        const isLate = this.remaining(call.route) < leastAttemptTime;
        this.answer.fail(failure(isLate ? "callTimedOutAtEndpoint" : "callOutcomeUnknown"), call);
    }

    /** Ends a call for which no endpoint is left: fails it if it may have run, otherwise refuses it. */
    private giveUp(call: AdmittedCall): void {
        if (this.runs > 0) {
            this.answer.fail(failure("callOutcomeUnknown"), call);
            return;
        }
        const code = this.rejections > 0 ? "endpointsBusy" : "noEndpointAvailable";
        this.answer.refuse({ reason: failure(code), call, retryAfter: this.retryAfter(call.route) });
    }

    private retryAfter(route: DeployedRoute): Milliseconds {
        const longest = Math.max(0, this.remaining(route)) * retryAfterFraction;
        return Math.min(longest, leastRetryAfter * (1 + this.parts.random.float()));
    }

    /** Updates the endpoint's health from the outcome of an attempt, and logs a failed one. */
    private note(endpoint: HostedEndpoint, outcome: AttemptOutcome, sentAt: Milliseconds): void {
        const now = this.parts.clock.now();
        if (outcome.kind === "delivered") {
            endpoint.noteSuccess();
            return;
        }
        if (this.answer.hasCallerLeft()) {
            return;
        }
        if (outcome.kind === "failedAnswer") {
            endpoint.noteFailedAnswer();
        }
        else if (outcome.kind === "notRun" && outcome.cause === "full") {
            endpoint.noteFull(now);
        }
        else {
            endpoint.noteFailure(now);
        }
        this.parts.counters.count("attemptFailed");
        this.parts.eventLog.write("callAttemptFailed", {
            requestId: this.traits.callId,
            attempt: this.tried.size,
            endpoint: endpoint.id,
            outcome: outcome.kind,
            reason: outcome.kind === "failedAnswer" ? `status ${outcome.message.statusCode ?? 0}` : outcome.reason,
            elapsed: Math.round(now - sentAt),
        });
    }

    private logDispatch(call: AdmittedCall, { endpoint, predictedWait }: Placement): void {
        const { fleet, view, clock, suspension, counters, eventLog } = this.parts;
        counters.count("dispatched");
        eventLog.write("callDispatched", {
            requestId: this.traits.callId,
            attempt: this.tried.size,
            endpoint: endpoint.id,
            version: call.version,
            outstanding: endpoint.outstanding,
            predictedWait: Math.round(predictedWait),
            listAge: fleet.age(clock.now()),
            permitAge: view.loggedPermitAge(suspension.now()),
            remaining: Math.round(this.remaining(call.route)),
        });
    }
}

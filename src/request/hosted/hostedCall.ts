import type { IncomingMessage, ServerResponse } from "node:http";
import { readCallTraits } from "../../../platform/callHeaders.js";
import { createCallerAbortSignal } from "../../connection/callerAbortSignal.js";
import type { RelayedCall } from "../../connection/hosted/relayHeaders.js";
import type { MeasuredCall } from "../../process/hosted/entry/callDurations.js";
import type { ExpectedCall } from "../../process/hosted/entry/entryShutdown.js";
import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import { failure } from "../../resultCode/resultCode.js";
import type { ResultCode } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { waitForSocketPoll } from "../../util/waitForSocketPoll.js";
import type { DeployedRoute, DeployedService } from "../../version/deployment.js";
import { admitCall, readmitCall } from "./callAdmission.js";
import type { AdmittedCall, CallContext, Refusal, TeamResolver } from "./callContext.js";
import { CallDetour } from "./callDetour.js";
import { CallerResponse } from "./callerResponse.js";
import type { CallTraits } from "./callTraits.js";
import { CrashGuard } from "./crashGuard.js";
import { EndpointAttempt } from "./endpointAttempt.js";
import type { AttemptOutcome, FailedOutcome } from "./endpointAttempt.js";
import type { Placement, PlacementRequest } from "./endpointChooser.js";
import { RelayedResponseHeaders } from "./relayedResponseHeaders.js";
import { decideRetry } from "./retryRule.js";
import { shutdownFieldsOf } from "./shutdownFields.js";
import { StreamContinuation } from "./streamContinuation.js";

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

/** Longest wait for an endpoint whose rate is limited, as a fraction of the call's remaining time, at the highest urgency. */
const maximumGrantDelayFraction = 0.3;

/** Number of urgencies; a less urgent call waits shorter for a limited endpoint, and thus is refused first. */
const urgencyCount = 10;

/** Lower bound of the random `retry-after` time of a call that the entry refuses because it stops. */
const stoppingRetryAfter: Milliseconds = 50;

/** Number of denied grants after which a call is not sent to an endpoint whose rate is limited. */
const maximumDenials = 4;

/** The endpoint chosen for an attempt. */
interface Selection {
    readonly placement: Placement;
    /** Longest acceptable wait for a grant, if the rate of the endpoint is limited. */
    readonly maximumGrantDelay: Milliseconds;
}

/** An attempt that did not deliver a response. */
interface FailedAttempt {
    readonly outcome: FailedOutcome;
    readonly placement: Placement;
}

/** Handles one call, from its request headers to its final response. */
export class HostedCall {
    private readonly traits: CallTraits;
    private readonly callerResponse: CallerResponse;
    private readonly triedEndpoints = new Set<HostedEndpoint>();
    private attempt: EndpointAttempt | undefined;
    /** When the newest attempt began; undefined before the first one. */
    private dispatchedAt: Milliseconds | undefined;
    /** Number of attempts in which the call may have run. */
    private executions: number;
    /** Number of attempts that an endpoint rejected; also counts a refusal because of the predicted wait. */
    private rejections = 0;
    /** Number of calls to endpoints with limited rates that were not granted. */
    private denials = 0;
    private lastFailure: FailedAttempt | undefined;
    /** Undefined until the call is first sent. */
    private measuredCall: MeasuredCall | undefined;
    /** Undefined until the call is admitted. */
    private route: DeployedRoute | undefined;
    private readonly crashGuard: CrashGuard;
    private readonly continuation: StreamContinuation;
    private readonly detour: CallDetour;

    constructor(
        private readonly request: IncomingMessage,
        response: ServerResponse,
        private readonly context: CallContext,
        /** When the call was received; it may have waited for earlier calls of its connection. */
        private readonly arrivedAt: Milliseconds,
        /** Undefined for a call that a caller sent to this entry itself. */
        private readonly relayed?: RelayedCall,
    ) {
        this.executions = relayed?.executions ?? 0;
        this.traits = readCallTraits(request.headers);
        this.crashGuard = new CrashGuard(context);
        this.continuation = new StreamContinuation(this.traits, context, relayed?.origin);
        const abortSignal = createCallerAbortSignal(request, response);
        const relayedHeaders = new RelayedResponseHeaders(
            response,
            relayed,
            () => context.view.version,
            () => this.continuation.statedOrigin,
            () => [...this.triedEndpoints].at(-1)?.record,
        );
        this.callerResponse = new CallerResponse(
            response,
            this.traits,
            context,
            this.arrivedAt,
            abortSignal,
            relayedHeaders,
        );
        this.detour = new CallDetour({
            request,
            traits: this.traits,
            callerResponse: this.callerResponse,
            context,
            continuation: this.continuation,
            remainingTime: ({ route }) => this.remainingTime(route),
            readmit: call => this.readmit(call),
            endIfTooLate: call => this.endIfTooLate(call),
            onSend: call => {
                this.measure(call);
            },
        });
        abortSignal.addEventListener("abort", () => {
            this.attempt?.cancel("the caller disconnected");
            this.detour.cancel("the caller disconnected");
        }, { once: true });
    }

    /** Handles the call; resolves when the response is complete or aborted. */
    async run(): Promise<void> {
        const call = await admitCall(this.request, this.traits, this.resolveTeam, this.context, this.relayed);
        if (call.ok) {
            this.route = call.val.route;
            if (this.relayed === undefined) {
                this.context.retryBudget.recordCall(call.val.service.name, this.context.clock.now());
            }
            await this.resolveAndServe(call.val);
        }
        else {
            this.request.resume();
            this.callerResponse.refuse(call.val);
        }
        if (this.callerResponse.hasCallerDisconnected() && !this.callerResponse.hasFailed) {
            this.context.counters.count("left");
            this.context.eventLog.write("callLeft", {
                requestId: this.traits.callId,
                waited: this.callerResponse.elapsedTime(),
                attempts: this.triedEndpoints.size,
                sinceDispatch: this.timeSinceDispatch(this.context.clock.now()),
            });
        }
    }

    /** Logs that the call is under way while the entry begins to shut down. */
    logAtShutdown(now: Milliseconds): void {
        const { route, context, traits } = this;
        context.eventLog.write("callUnderWayAtShutdown", {
            requestId: traits.callId,
            route: route?.name,
            waited: this.callerResponse.elapsedTime(),
            attempts: this.triedEndpoints.size,
            sinceDispatch: this.timeSinceDispatch(now),
            expectedDuration: shutdownFieldsOf(route, context).expectedDuration,
            remaining: route && Math.round(this.remainingTime(route)),
        });
    }

    private timeSinceDispatch(now: Milliseconds): Milliseconds | undefined {
        return this.dispatchedAt === undefined ? undefined : Math.round(now - this.dispatchedAt);
    }

    private readonly resolveTeam: TeamResolver = index => {
        const { relayed, traits } = this;
        if (relayed !== undefined) {
            return relayed.team === undefined ? undefined : index.findTeamByName(relayed.team);
        }
        return traits.apiKey === undefined ? undefined : index.findTeam(traits.apiKey);
    };

    private async resolveAndServe(call: AdmittedCall): Promise<void> {
        const resolved = await this.continuation.resolve(call);
        if (resolved.err) {
            this.callerResponse.refuse(resolved.val);
        }
        else if (!this.continuation.isContinued || !this.refuseIfWithdrawn(resolved.val)) {
            const listener = this.context.reachability.onChange(() => {
                this.abandonUnreachedEndpoint(resolved.val);
            });
            await this.serve(resolved.val).finally(() => {
                listener[Symbol.dispose]();
                this.recordDuration();
            });
        }
    }

    /** Begins to measure how long the call takes, unless it was sent before. */
    private measure({ route }: AdmittedCall): void {
        const { durations, clock } = this.context;
        this.measuredCall ??= durations.begin(route.name, clock.now());
    }

    private recordDuration(): void {
        const { measuredCall, callerResponse, continuation, context: { durations, clock } } = this;
        if (measuredCall === undefined) {
            return;
        }
        const { hasDeliveredSuccess } = callerResponse;
        // The rest of a stream takes less time than the whole.
        if (hasDeliveredSuccess && !continuation.isContinued) {
            durations.end(measuredCall, "delivered", clock.now());
        }
        else if (hasDeliveredSuccess || this.executions > 0) {
            durations.end(measuredCall, "unfinished", clock.now());
        }
        else {
            durations.discard(measuredCall);
        }
    }

    /** Aborts an attempt that may be repeated through another entry, because this one has been cut off from endpoints. */
    private abandonUnreachedEndpoint(call: AdmittedCall): void {
        const { attempt, relayed, callerResponse, context } = this;
        const isRepeatable = attempt?.isSent === false || call.route.repeatRule === "repeatable";
        const mayRepeat = isRepeatable && !this.isTooLate(call);
        if (context.reachability.isCutOff && relayed === undefined && mayRepeat && !callerResponse.hasBegun) {
            attempt?.cancel("this entry is cut off from endpoints");
        }
    }

    private mayDetour(): boolean {
        return this.relayed === undefined && this.mayGoOn && this.detour.isNeeded(this.context.clock.now());
    }

    /** Whether another response could be sent from its start, or behind the last event that was sent. */
    private get mayGoOn(): boolean {
        const { hasBegun, isBodyForwarded, lastEventId } = this.callerResponse;
        return !hasBegun || (!isBodyForwarded && lastEventId !== undefined);
    }

    /** Ends the call because the entry stops; its caller learns whether it may have run. */
    endBecauseEntryStops(): void {
        const { attempt, callerResponse, detour, executions } = this;
        if (callerResponse.hasEnded()) {
            return;
        }
        if (callerResponse.hasBegun || executions > 0 || attempt?.isSent === true || detour.isSent) {
            callerResponse.fail(failure("entryStopped"));
        }
        else {
            callerResponse.refuse({ reason: failure("entryStopping"), retryAfter: this.stopRetryAfter() });
        }
        attempt?.cancel("the entry stops");
        detour.cancel("the entry stops");
    }

    /** Whether the response of an attempt that begins now would not be complete when the entry stops. */
    private isTooLate(call: AdmittedCall): boolean {
        const { shutdown, suspensionDetector } = this.context;
        return shutdown.isUnderWay && !shutdown.allows(this.expectedCall(call), suspensionDetector.now());
    }

    /** Ends a call whose response would not be complete when the entry stops; returns whether it did. */
    private endIfTooLate(call: AdmittedCall): boolean {
        if (!this.isTooLate(call)) {
            return false;
        }
        if (this.lastFailure?.outcome.kind === "failedAnswer") {
            this.respondToFailure(call, this.lastFailure);
        }
        else if (this.executions > 0) {
            this.callerResponse.fail(failure("entryStopped"), call);
        }
        else {
            this.callerResponse.refuse({ reason: failure("entryStopping"), call, retryAfter: this.stopRetryAfter() });
        }
        return true;
    }

    private expectedCall({ route }: AdmittedCall): ExpectedCall {
        const { durations, clock } = this.context;
        return {
            mayHaveRun: this.callerResponse.hasBegun || this.executions > 0,
            remainingTime: this.remainingTime(route),
            longestDuration: durations.longest(route.name, clock.now()),
        };
    }

    /** `retry-after` time of a caller that should use another entry: there is nothing to wait for. */
    private stopRetryAfter(): Milliseconds {
        return stoppingRetryAfter * (1 + this.context.random.float());
    }

    private async serve(call: AdmittedCall): Promise<void> {
        while (!this.callerResponse.hasEnded()) {
            if (this.endIfTooLate(call)) {
                return;
            }
            const detoured = this.mayDetour() ? await this.detour.run(call, this.executions) : "notTaken";
            if (detoured === "ended" || (detoured === "lost" && !await this.acquireRetryAfterDetour(call))) {
                return;
            }
            if (detoured === "lost") {
                continue;
            }
            if (await this.endIfHeldBack(call)) {
                return;
            }
            const selection = this.remainingTime(call.route) < minimumAttemptTime ? undefined : this.select(call);
            if (selection === undefined) {
                this.respondWithoutEndpoint(call);
                return;
            }
            const { placement, maximumGrantDelay } = selection;
            if (this.triedEndpoints.size === 0 && this.wouldMissTarget(call, placement)) {
                this.rejections++;
                this.failOrRefuse(call);
                return;
            }
            if (this.context.rateLimits.isLimited(placement.endpoint.id)) {
                const isGranted = await this.acquireGrant(call, placement, maximumGrantDelay);
                if (this.refuseIfWithdrawn(call)) {
                    return;
                }
                if (!isGranted) {
                    continue;
                }
            }
            if (this.endIfTooLate(call)) {
                return;
            }
            const outcome = await this.runAttempt(call, placement);
            if (outcome.kind === "delivered") {
                return;
            }
            this.lastFailure = { outcome, placement };
            await waitForSocketPoll();
            if (this.callerResponse.hasEnded()) {
                return;
            }
            const mayRetry = await this.acquireRetry(call, outcome);
            if (this.callerResponse.hasEnded()) {
                return;
            }
            if (!mayRetry) {
                this.respondToFailure(call, this.lastFailure);
                return;
            }
        }
    }

    /** Ends a call that is held back, or that was withdrawn while it waited to be let through; returns whether it ended. */
    private async endIfHeldBack(call: AdmittedCall): Promise<boolean> {
        const mayBeTried = (): boolean => this.executions === 0 && !this.callerResponse.hasEnded();
        const hold = await this.crashGuard.resolveHold(call, mayBeTried);
        if (this.callerResponse.hasEnded()) {
            return true;
        }
        if (hold === undefined) {
            return this.crashGuard.isOnTrial && this.refuseIfWithdrawn(call);
        }
        if (this.executions > 0) {
            this.callerResponse.fail(failure("callOutcomeUnknown"), call);
        }
        else {
            this.callerResponse.refuse(this.crashGuard.refuse(call, hold, this.context.clock.now()));
        }
        return true;
    }

    /** Refuses a call that has not run if its key, its route or the permit has lapsed while it waited. */
    private refuseIfWithdrawn(call: AdmittedCall): boolean {
        const readmitted = this.readmit(call);
        if (readmitted.err) {
            this.callerResponse.refuse(readmitted.val);
        }
        return readmitted.err;
    }

    /** Admits the call by the configuration in force; one that may have run keeps its admission. */
    private readmit(call: AdmittedCall): Result<AdmittedCall, Refusal> {
        return this.executions > 0 ? Ok(call) : readmitCall(call, this.request, this.resolveTeam, this.context);
    }

    /** Whether a call that was lost on a detour may be sent once more; if not, ends it. */
    private async acquireRetryAfterDetour(call: AdmittedCall): Promise<boolean> {
        const { route, service } = call;
        const { retryBudget, grantSource } = this.context;
        this.executions++;
        const lost = {
            kind: "lost",
            reason: "the other entry did not complete the call",
            fault: undefined,
            wasDisconnected: false,
        } as const;
        const isRepeatable = this.mayGoOn && this.remainingTime(route) >= minimumAttemptTime
            && decideRetry(lost, route, this.executions, this.rejections) === "counted";
        const isGranted = isRepeatable && await retryBudget.acquire(service.name, grantSource);
        await waitForSocketPoll();
        if (!isGranted && !this.callerResponse.hasEnded()) {
            this.callerResponse.fail(failure(this.lostCode(route)), call);
        }
        return isGranted && !this.callerResponse.hasEnded();
    }

    /** Why a call has no response that may have run. */
    private lostCode(route: DeployedRoute): ResultCode {
        return this.remainingTime(route) < minimumAttemptTime ? "callTimedOutAtEndpoint" : "callOutcomeUnknown";
    }

    /**
     * Chooses an endpoint: one that is due for a probe, or the best of those that may take a call now, or the best of
     * those that may take one after a delay; undefined if there is none.
     */
    private select(call: AdmittedCall): Selection | undefined {
        const { clock, rateLimits } = this.context;
        const now = clock.now();
        const untried = this.untriedEndpoints(call.service).filter(({ id }) =>
            this.denials < maximumDenials || !rateLimits.isLimited(id)
        );
        const probed = this.triedEndpoints.size === 0 && this.denials === 0
            ? untried.find(endpoint => rateLimits.isProbeDue(endpoint.id, now))
            : undefined;
        const probePlacement = probed === undefined ? undefined : this.place(call, [probed]);
        if (probePlacement !== undefined && !this.wouldMissTarget(call, probePlacement)) {
            return { placement: probePlacement, maximumGrantDelay: 0 };
        }
        for (const maximumGrantDelay of [0, this.maximumGrantDelay(call)]) {
            const available = untried.filter(({ id }) => rateLimits.timeUntilRequest(id, maximumGrantDelay, now) === 0);
            const open = this.crashGuard.isSuspicious(call) ? leastLoaded(available, now) : available;
            const placement = open.length === 0 ? undefined : this.place(call, open);
            if (placement !== undefined) {
                return { placement, maximumGrantDelay };
            }
        }
        return undefined;
    }

    /** Longest time that the call may wait for a grant; shorter for less urgent calls. */
    private maximumGrantDelay({ route, urgency }: AdmittedCall): Milliseconds {
        const wait = Math.max(0, this.remainingTime(route)) * maximumGrantDelayFraction;
        return wait * (urgencyCount - urgency) / urgencyCount;
    }

    /** Waits for permission to send the call to an endpoint; false if it was denied or the caller has left. */
    private async acquireGrant(
        { service }: AdmittedCall,
        { endpoint }: Placement,
        maximumGrantDelay: Milliseconds,
    ): Promise<boolean> {
        const { rateLimits, grantSource, fleet } = this.context;
        const isGranted = await rateLimits.acquire(endpoint.id, maximumGrantDelay, grantSource);
        await waitForSocketPoll();
        // The endpoint may have begun to leave or to rest meanwhile.
        const maySend = isGranted && fleet.serving(service.name).includes(endpoint)
            && !endpoint.isResting(this.context.clock.now()) && endpoint.hasRoom(this.context.entryCount());
        this.denials += maySend ? 0 : 1;
        return maySend && !this.callerResponse.hasEnded();
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
        const isRetried = this.continuation.isContinued
            || retryDetector.isLikelyRetry(call.route, this.traits.remainingTime, clock.now());
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

    private untriedEndpoints(service: DeployedService): readonly HostedEndpoint[] {
        const now = this.context.clock.now();
        return this.context.fleet.serving(service.name).filter(endpoint =>
            !this.triedEndpoints.has(endpoint) && this.continuation.accepts(endpoint)
            && !endpoint.isResting(now) && endpoint.hasRoom(this.context.entryCount())
        );
    }

    private place(call: AdmittedCall, candidates: readonly HostedEndpoint[]): Placement | undefined {
        const { chooser, clock } = this.context;
        return chooser.choose(this.placementRequest(call), candidates, clock.now());
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
        this.measure(call);
        this.crashGuard.beginAttempt();
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
            mayFailOver: () => {
                return route.repeatRule === "repeatable" && this.executions + 1 < route.maximumAttempts
                    && !this.isTooLate(call);
            },
            earlierExecutions: this.executions,
            onResponseStarted: () => {
                outstandingCall.pendingPrefillTokens = 0;
                if (route.streaming) {
                    this.continuation.recordFirstEvent(call, endpoint, clock.now());
                }
                chooser.recordStart(this.placementRequest(call), placement, clock.now() - sentAt, clock.now());
            },
            onEstablished: () => {
                this.crashGuard.recordEstablished(call, sentAt, clock.now());
            },
        }, this.context);
        const outcome = await this.attempt.run();
        this.attempt = undefined;
        endpoint.removeCall(outstandingCall);
        this.executions += outcome.kind === "notRun" ? 0 : 1;
        this.crashGuard.recordOutcome(call, endpoint, outcome, sentAt, clock.now());
        this.recordOutcome(endpoint, outcome, sentAt);
        return outcome;
    }

    /** Whether the call may be retried at another endpoint; a retry that counts is taken from the retry budget. */
    private async acquireRetry(call: AdmittedCall, outcome: FailedOutcome): Promise<boolean> {
        const { route, service } = call;
        const { retryBudget, grantSource, rateLimits, clock } = this.context;
        const now = clock.now();
        const hasOpenEndpoint = this.untriedEndpoints(service).some(({ id }) =>
            rateLimits.timeUntilRequest(id, 0, now) === 0
        );
        const mayBeCause = outcome.kind === "lost" && outcome.wasDisconnected
            && this.crashGuard.isSuspicious(call);
        if (
            mayBeCause || !this.mayGoOn || !hasOpenEndpoint
            || this.remainingTime(route) < minimumAttemptTime
        ) {
            return false;
        }
        this.rejections += outcome.kind === "notRun" && outcome.cause !== "unreached" ? 1 : 0;
        const decision = decideRetry(outcome, route, this.executions, this.rejections);
        if (decision !== "counted") {
            return decision === "free";
        }
        const isGranted = await retryBudget.acquire(service.name, grantSource);
        await waitForSocketPoll();
        return isGranted;
    }

    /** Sends the final response after the last attempt failed. */
    private respondToFailure(call: AdmittedCall, { outcome, placement: { endpoint } }: FailedAttempt): void {
        // An error that follows a part of another response is not forwarded: the caller would take it for the rest.
        if (outcome.kind === "failedAnswer" && !this.callerResponse.hasBegun) {
            this.callerResponse.forwardFailure(call, outcome.message, outcome.body, this.executions, endpoint.id);
            return;
        }
        if (this.executions === 0) {
            this.failOrRefuse(call);
            return;
        }
        this.callerResponse.fail(failure(this.lostCode(call.route)), call);
    }

    private respondWithoutEndpoint(call: AdmittedCall): void {
        if (this.lastFailure === undefined) {
            this.failOrRefuse(call);
            return;
        }
        this.respondToFailure(call, this.lastFailure);
    }

    /** Ends a call for which no endpoint is left: fails it if it may have run, otherwise refuses it. */
    private failOrRefuse(call: AdmittedCall): void {
        if (this.executions > 0) {
            this.callerResponse.fail(failure("callOutcomeUnknown"), call);
            return;
        }
        const grantWait = this.timeUntilGrantable(call.service);
        const restWait = this.timeUntilRested(call.service);
        const code = this.rejections > 0 || restWait !== undefined
            ? "endpointsBusy"
            : grantWait === undefined
            ? "noEndpointAvailable"
            : "endpointsLimited";
        const retryAfter = this.chooseRetryAfter(call.route, grantWait ?? restWait);
        this.callerResponse.refuse({ reason: failure(code), call, retryAfter });
    }

    /** Time until an endpoint could take a call; undefined unless the rates of all endpoints are limited. */
    private timeUntilGrantable(service: DeployedService): Milliseconds | undefined {
        const { rateLimits, clock } = this.context;
        const untried = this.untriedEndpoints(service);
        return untried.length > 0 && untried.every(({ id }) => rateLimits.isLimited(id))
            ? Math.min(...untried.map(({ id }) => rateLimits.timeUntilGrantable(id, clock.now())))
            : undefined;
    }

    /** Time until the first endpoint takes calls again; undefined unless all rest. */
    private timeUntilRested(service: DeployedService): Milliseconds | undefined {
        const { fleet, clock } = this.context;
        const now = clock.now();
        const endpoints = fleet.serving(service.name).filter(endpoint => this.continuation.accepts(endpoint));
        return endpoints.length > 0 && endpoints.every(endpoint => endpoint.isResting(now))
            ? Math.min(...endpoints.map(endpoint => endpoint.remainingRest(now)))
            : undefined;
    }

    /** @param availableAfter Time until an endpoint can take the call; undefined if that is not known. */
    private chooseRetryAfter(route: DeployedRoute, availableAfter: Milliseconds | undefined): Milliseconds {
        const retryAfter = minimumRetryAfter * (1 + this.context.random.float());
        const longest = Math.max(0, this.remainingTime(route)) * maximumRetryAfterFraction;
        // A call that returns before an endpoint can take it would be refused again.
        return Math.max(Math.min(longest, retryAfter), (availableAfter ?? 0) * (1 + this.context.random.float()));
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
        if (outcome.kind === "lost" || (outcome.kind === "notRun" && outcome.cause === "unreached")) {
            this.context.reachability.recordFailure(endpoint.record.address, now);
        }
        if (outcome.kind === "failedAnswer") {
            endpoint.recordErrorResponse();
        }
        else if (outcome.kind === "notRun" && outcome.cause === "full") {
            endpoint.recordAtCapacity(this.context.entryCount(), now);
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
            fault: outcome.kind === "lost" ? outcome.fault : undefined,
            reason: outcome.kind === "failedAnswer" ? `status ${outcome.message.statusCode ?? 0}` : outcome.reason,
            elapsed: Math.round(now - sentAt),
        });
    }

    private logDispatch(call: AdmittedCall, { endpoint, predictedWait }: Placement): void {
        const { fleet, view, clock, suspensionDetector, counters, eventLog } = this.context;
        const leavingTime = fleet.leavingRecord.timeSince(endpoint.record, clock.now());
        if (leavingTime !== undefined) {
            fleet.leavingRecord.countCall();
            const fields = { requestId: this.traits.callId, endpoint: endpoint.id, knownFor: Math.round(leavingTime) };
            eventLog.write("leavingEndpointCalled", fields);
        }
        counters.count("dispatched");
        eventLog.write("callDispatched", {
            requestId: this.traits.callId,
            attempt: this.triedEndpoints.size,
            endpoint: endpoint.id,
            version: call.version,
            outstanding: endpoint.outstandingCount,
            predictedWait: Math.round(predictedWait),
            listAge: Math.round(fleet.listAge(suspensionDetector.now())),
            listSource: fleet.listSource,
            permitAge: view.loggedPermitAge(suspensionDetector.now()),
            remaining: Math.round(this.remainingTime(call.route)),
            softwareVersion: endpoint.record.softwareVersion,
            resumedCallId: this.traits.resumedCallId,
            lastEventId: this.callerResponse.lastEventId ?? this.traits.lastEventId,
            ...shutdownFieldsOf(call.route, this.context),
        });
    }
}

/** The endpoint with the fewest calls, as a list. */
function leastLoaded(endpoints: readonly HostedEndpoint[], now: Milliseconds): readonly HostedEndpoint[] {
    const [first, ...others] = endpoints.filter(endpoint => !endpoint.isEjected(now));
    if (first === undefined) {
        return endpoints;
    }
    return [others.reduce((a, b) => b.estimatedCalls(now) < a.estimatedCalls(now) ? b : a, first)];
}

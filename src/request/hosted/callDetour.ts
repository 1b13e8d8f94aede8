import type { IncomingMessage } from "node:http";
import { match } from "ts-pattern";
import type { Relay } from "../../process/hosted/entry/relayDirectory.js";
import { failure } from "../../resultCode/resultCode.js";
import type { ResultCode } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";
import { waitForSocketPoll } from "../../util/waitForSocketPoll.js";
import { waitForVersion } from "./callAdmission.js";
import type { AdmittedCall, CallContext, Refusal } from "./callContext.js";
import type { CallerResponse } from "./callerResponse.js";
import type { CallTraits } from "./callTraits.js";
import { recordStatements } from "./endpointStatements.js";
import { RelayAttempt } from "./relayAttempt.js";
import type { RelayOutcome, RelayRefusal } from "./relayAttempt.js";
import { shutdownFieldsOf } from "./shutdownFields.js";
import type { StreamContinuation } from "./streamContinuation.js";

/** Maximum number of attempts of one call through other entries. */
const maximumAttempts = 6;

/** Maximum number of entries that may refuse one call for want of capacity. */
const maximumRefusals = 2;

/** Lower bound of the random `retry-after` time of a call that no other entry took; it is drawn from once to twice it. */
const minimumRetryAfter: Milliseconds = 400;

/** Refusals of other entries that hold for the service as a whole, and are passed on to callers. */
const serviceRefusals: readonly ResultCode[] = ["noEndpointAvailable", "endpointsBusy", "endpointsLimited"];

/** Dependencies of {@link CallDetour}. */
export interface CallDetourInput {
    readonly request: IncomingMessage;
    readonly traits: CallTraits;
    readonly callerResponse: CallerResponse;
    readonly context: CallContext;
    readonly continuation: StreamContinuation;
    /** Time until the earlier of the caller's deadline and the route's timeout. */
    readonly remainingTime: (call: AdmittedCall) => Milliseconds;
    /** Admits the call by the configuration in force, unless it may have run. */
    readonly readmit: (call: AdmittedCall) => Result<AdmittedCall, Refusal>;
    /** Ends a call whose response would not be complete when this entry stops; returns whether it did. */
    readonly endIfTooLate: (call: AdmittedCall) => boolean;
    /** Called when the call is sent to another entry. */
    readonly onSend: (call: AdmittedCall) => void;
}

/** Result of {@link CallDetour.run}. */
export type DetourResult =
    /** The caller has got its final response. */
    | "ended"
    /** No other entry was reached. */
    | "notTaken"
    /** The call may have run, but its response is missing or incomplete. */
    | "lost";

/** Sends a call through other entries while this one is cut off from all endpoints. */
export class CallDetour {
    /** Addresses of the entries that are not asked again for this call. */
    private readonly tried = new Set<string>();
    private attemptCount = 0;
    private refusalCount = 0;
    private attempt: RelayAttempt | undefined;

    constructor(private readonly input: CallDetourInput) {}

    /** Whether a call should be sent through another entry. */
    isNeeded(now: Milliseconds): boolean {
        const { reachability, relays } = this.input.context;
        return reachability.isCutOff && this.mayAsk && relays.choose(this.tried, now) !== undefined;
    }

    /** Whether an attempt is under way in which the call may run. */
    get isSent(): boolean {
        return this.attempt?.isSent === true;
    }

    /** Aborts the attempt that is under way. */
    cancel(reason: string): void {
        this.attempt?.cancel(reason);
    }

    /**
     * Tries other entries one after the other.
     *
     * @param executions Number of attempts in which the call may have run already.
     */
    async run(admitted: AdmittedCall, executions: number): Promise<DetourResult> {
        const { callerResponse, context, remainingTime, readmit, endIfTooLate, onSend } = this.input;
        let call = admitted;
        let refusal: RelayRefusal | undefined;
        while (this.mayAsk && remainingTime(call) > 0 && !callerResponse.hasEnded()) {
            const readmitted = readmit(call);
            if (readmitted.err) {
                callerResponse.refuse(readmitted.val);
                return "ended";
            }
            call = readmitted.val;
            const relay = context.relays.choose(this.tried, context.clock.now());
            if (relay === undefined) {
                break;
            }
            if (endIfTooLate(call)) {
                return "ended";
            }
            this.tried.add(relay.address);
            this.attemptCount++;
            onSend(call);
            const outcome = await this.runAttempt(call, relay, executions);
            await waitForSocketPoll();
            if (outcome.kind === "delivered" || callerResponse.hasEnded()) {
                return "ended";
            }
            if (outcome.kind === "lost") {
                return "lost";
            }
            if (outcome.kind === "failed" || outcome.kind === "failedAnswer") {
                this.endAfterFailure(outcome, call, executions + 1);
                return "ended";
            }
            if (outcome.kind === "refused") {
                ({ refusal } = outcome);
                await this.prepareNextAttempt(refusal, relay, call);
            }
        }
        if (callerResponse.hasEnded()) {
            return "ended";
        }
        if (refusal === undefined) {
            return "notTaken";
        }
        this.endAfterRefusal(refusal, call, executions);
        return "ended";
    }

    private get mayAsk(): boolean {
        return this.attemptCount < maximumAttempts && this.refusalCount < maximumRefusals;
    }

    private async runAttempt(call: AdmittedCall, relay: Relay, executions: number): Promise<RelayOutcome> {
        const { request, traits, callerResponse, context, continuation, remainingTime } = this.input;
        const { clock, counters, eventLog, relays } = context;
        counters.count("relayed");
        eventLog.write("callRelayed", {
            requestId: traits.callId,
            attempt: this.attemptCount,
            entry: relay.entry,
            version: call.version,
            lastEventId: callerResponse.lastEventId ?? traits.lastEventId,
            ...shutdownFieldsOf(call.route, context),
        });
        const sentAt = clock.now();
        this.attempt = new RelayAttempt({
            call,
            request,
            callerResponse,
            relay,
            remainingTime: remainingTime(call),
            executions,
            origin: continuation.statedOrigin,
            onEndpointHead: (run, responseTraits) => {
                const endpoint = context.fleet.find(run);
                if (endpoint !== undefined) {
                    recordStatements(endpoint, responseTraits, true, context, clock.now());
                }
            },
            onFirstEvent: origin => {
                continuation.recordRelayedEvent(call, origin);
            },
        });
        const outcome = await relays.countWhile(relay, this.attempt.run());
        this.attempt = undefined;
        if (outcome.kind !== "delivered" && !callerResponse.hasCallerDisconnected()) {
            eventLog.write("relayAttemptFailed", {
                requestId: traits.callId,
                attempt: this.attemptCount,
                entry: relay.entry,
                outcome: outcome.kind,
                fault: outcome.kind === "lost" ? outcome.fault : undefined,
                code: codeOf(outcome),
                status: outcome.kind === "failedAnswer" ? outcome.message.statusCode : undefined,
                version: call.version,
                entryVersion: outcome.kind === "refused" ? outcome.refusal.version : undefined,
                elapsed: Math.round(clock.now() - sentAt),
            });
        }
        return outcome;
    }

    /** Removes the reason of a refusal that does not concern the other entry's capacity. */
    private async prepareNextAttempt(refusal: RelayRefusal, relay: Relay, { version }: AdmittedCall): Promise<void> {
        const { context } = this.input;
        if (refusal.code === "relayForbidden") {
            context.relays.reject(relay);
        }
        else if (refusal.code === "relayVersionDiffers" && (refusal.version ?? 0) > version) {
            if (await waitForVersion(refusal.version ?? 0, context)) {
                this.tried.delete(relay.address);
            }
        }
        else if (serviceRefusals.includes(refusal.code)) {
            this.refusalCount++;
        }
    }

    private endAfterFailure(
        outcome: Extract<RelayOutcome, { readonly kind: "failed" | "failedAnswer"; }>,
        call: AdmittedCall,
        attempts: number,
    ): void {
        const { callerResponse } = this.input;
        // An error that follows a part of another response is not forwarded: the caller would take it for the rest.
        if (outcome.kind === "failedAnswer" && !callerResponse.hasBegun) {
            callerResponse.forwardFailure(call, outcome.message, outcome.body, attempts, "");
            return;
        }
        const isLate = outcome.kind === "failed" && outcome.code === "callTimedOutAtEndpoint";
        callerResponse.fail(failure(isLate ? "callTimedOutAtEndpoint" : "callOutcomeUnknown"), call);
    }

    private endAfterRefusal({ code, retryAfter }: RelayRefusal, call: AdmittedCall, executions: number): void {
        const { callerResponse, context } = this.input;
        if (executions > 0 || callerResponse.hasBegun) {
            callerResponse.fail(failure("callOutcomeUnknown"), call);
            return;
        }
        callerResponse.refuse({
            reason: failure(serviceRefusals.includes(code) ? code : "relaysUnavailable"),
            call,
            retryAfter: retryAfter ?? minimumRetryAfter * (1 + context.random.float()),
        });
    }
}

function codeOf(outcome: RelayOutcome): ResultCode | undefined {
    return match(outcome)
        .with({ kind: "failed" }, ({ code }) => code)
        .with({ kind: "refused" }, ({ refusal }) => refusal.code)
        .otherwise(() => undefined);
}

import type { IncomingMessage, ServerResponse } from "node:http";
import { headersTowardsCaller, headersTowardsEndpoint, readCallTraits } from "../../../platform/callHeaders.js";
import { EndpointExchange } from "../../connection/hosted/endpointExchange.js";
import type { ExchangeHead } from "../../connection/hosted/endpointExchange.js";
import { answerFailure, drained } from "../../connection/httpAnswer.js";
import { readBody } from "../../connection/httpBody.js";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { CallCounts } from "../../process/hosted/entry/callCounts.js";
import type { DeploymentView } from "../../process/hosted/entry/deploymentView.js";
import type { EndpointFleet } from "../../process/hosted/entry/endpointFleet.js";
import type { EntryCounters } from "../../process/hosted/entry/entryCounters.js";
import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { RetryAllowance } from "../../process/hosted/entry/retryAllowance.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { MedianClock } from "../../util/medianClock.js";
import type { RandomSource } from "../../util/randomSource.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { SuspensionWatch } from "../../util/suspensionWatch.js";
import type { DeployedRoute, DeployedService, DeployedTeam } from "../../version/deployment.js";
import type { DeploymentIndex } from "../../version/deploymentIndex.js";
import { drawService } from "../../version/deploymentIndex.js";
import type { CallTraits } from "./callTraits.js";
import type { CallToPlace, EndpointChooser, Placement } from "./endpointChooser.js";
import { EventSplitter } from "./eventSplitter.js";

/** How long a call waits for the entry's permit before it is refused. */
const permitPatience: Milliseconds = 400;

/** Pause between two looks whether the permit has come. */
const permitLook: Milliseconds = 25;

/** Endpoints without room for a call after which it is refused. */
const maximumRejections = 3;

/** Least time that must be left for a further attempt. */
const leastAttemptTime: Milliseconds = 50;

/** Shortest silence after which a stream that may be resumed is moved to another endpoint. */
const leastStall: Milliseconds = 1_200;

/** Pauses of the target's length without an event after which such a stream is moved. */
const stalledPauses = 4;

/** Shortest wait that a refused caller is asked for. */
const leastRetryAfter: Milliseconds = 400;

/** Longest wait that a refused caller is asked for, as a fraction of its remaining patience. */
const retryAfterFraction = 0.3;

/** What calls work with. */
export interface CallParts {
    readonly view: DeploymentView;
    readonly fleet: EndpointFleet;
    readonly chooser: EndpointChooser;
    readonly allowance: RetryAllowance;
    readonly counts: CallCounts;
    readonly counters: EntryCounters;
    readonly clock: Clock;
    readonly suspension: SuspensionWatch;
    readonly medianClock: MedianClock;
    readonly random: RandomSource;
    readonly eventLog: EventLog;
    /** Number of entries that serve at present. */
    readonly entryCount: () => number;
}

/** A call whose route and team are known. */
interface AdmittedCall {
    readonly route: DeployedRoute;
    readonly service: DeployedService;
    readonly team: DeployedTeam | undefined;
    readonly body: Buffer | undefined;
    /** The shortest pause that any stream at the service may have. */
    readonly shortestPause: Milliseconds | undefined;
    /** 0 to 9; 0 goes first at the endpoints. */
    readonly urgency: number;
    readonly version: number;
}

/** Why a call is refused without having run. */
interface Refusal {
    readonly reason: Failure;
    /** What is known of the call. */
    readonly call?: AdmittedCall;
    /** When the caller may come back; undefined where waiting does not help. */
    readonly retryAfter?: Milliseconds;
}

/** How an attempt at one endpoint ended. */
type AttemptOutcome =
    /** The caller has the whole answer, or its end. */
    | { readonly kind: "delivered"; }
    | { readonly kind: "callerGone"; }
    /** The call has not run there. */
    | { readonly kind: "notRun"; readonly reason: string; readonly isFull: boolean; }
    /** The endpoint ran the call and says that it failed. */
    | { readonly kind: "failedAnswer"; readonly message: IncomingMessage; readonly body: Buffer; }
    /** The call may have run, and its answer is lost. */
    | { readonly kind: "lost"; readonly reason: string; };

/** One call of a caller, from its head to its final answer. */
export class HostedCall {
    private readonly traits: CallTraits;
    private readonly arrivedAt: Milliseconds;
    private readonly tried = new Set<HostedEndpoint>();
    private exchange: EndpointExchange | undefined;
    private attempts = 0;
    private rejections = 0;
    /** The last event that the caller has of this call's answer. */
    private passedEventId: number | undefined;
    private firstEventAfter: Milliseconds | undefined;
    private longestPause: Milliseconds = 0;
    private callerGone = false;

    constructor(
        private readonly request: IncomingMessage,
        private readonly response: ServerResponse,
        private readonly parts: CallParts,
    ) {
        this.traits = readCallTraits(request.headers);
        this.arrivedAt = parts.clock.now();
        response.once("close", () => {
            if (!response.writableFinished) {
                this.callerGone = true;
                this.exchange?.cancel("the caller has left");
            }
        });
    }

    /** Serves the call. */
    async run(): Promise<void> {
        const call = await this.admit();
        if (call.ok) {
            this.parts.allowance.noteCall(call.val.service.name, this.now());
            await this.serve(call.val);
        }
        else {
            this.refuse(call.val);
        }
        if (this.callerGone) {
            this.parts.counters.count("left");
            this.parts.eventLog.write("callLeft", { requestId: this.traits.callId, waited: this.elapsed() });
        }
    }

    private now(): Milliseconds {
        return this.parts.clock.now();
    }

    private elapsed(): Milliseconds {
        return Math.round(this.now() - this.arrivedAt);
    }

    /** Time until the caller or the route gives the call up. */
    private remaining(route: DeployedRoute): Milliseconds {
        return Math.min(this.traits.patience ?? Infinity, route.timeout) - (this.now() - this.arrivedAt);
    }

    /** Finds route and team and reads the body, or says why the call is not allowed. */
    private async admit(): Promise<Result<AdmittedCall, Refusal>> {
        const before = await this.permittedIndex();
        if (before === undefined) {
            return Err({ reason: failure("entryNotPermitted"), retryAfter: leastRetryAfter });
        }
        const { headerBytes, bodyBytes } = before.deployment.limits;
        if (this.request.rawHeaders.join("").length > headerBytes) {
            return Err({ reason: failure("callHeadersTooLarge", { limit: headerBytes }) });
        }
        const checked = this.check(before);
        if (checked.err || !hasBody(this.request)) {
            return checked;
        }
        const body = await readBody(this.request, bodyBytes);
        if (body.err) {
            const reason = body.val.code === "bodyTooLarge" ? failure("callTooLarge", { limit: bodyBytes }) : body.val;
            return Err({ reason, call: checked.val });
        }
        // The configuration may have changed while the body came.
        const after = await this.permittedIndex();
        if (after === undefined) {
            return Err({ reason: failure("entryNotPermitted"), call: checked.val, retryAfter: leastRetryAfter });
        }
        const still = after === before ? checked : this.check(after);
        return still.ok ? Ok({ ...still.val, body: body.val }) : still;
    }

    private async permittedIndex(): Promise<DeploymentIndex | undefined> {
        const { view, suspension, clock } = this.parts;
        const giveUpAt = this.arrivedAt + permitPatience;
        while (!view.permits(suspension.now()) && this.now() < giveUpAt && !this.callerGone) {
            await clock.sleep(permitLook);
        }
        return view.permits(suspension.now()) ? view.current : undefined;
    }

    private check(index: DeploymentIndex): Result<AdmittedCall, Refusal> {
        const path = (this.request.url ?? "/").split("?", 1)[0] ?? "/";
        const route = index.findRoute(this.request.headers.host ?? "", path);
        const service = route && index.findService(drawService(route, this.parts.random.float()));
        if (route === undefined || service === undefined) {
            return Err({ reason: failure("callRouteUnknown") });
        }
        const team = this.traits.key === undefined ? undefined : index.findTeam(this.traits.key);
        const urgency = index.urgencyOf(route, team);
        const shortestPause = index.shortestPauseAt(service.name);
        const call = { route, service, team, body: undefined, shortestPause, urgency, version: index.version };
        return index.needsKey(route) && team === undefined
            ? Err({ reason: failure("callKeyUnknown"), call })
            : Ok(call);
    }

    private async serve(call: AdmittedCall): Promise<void> {
        while (!this.callerGone) {
            const remaining = this.remaining(call.route);
            const placement = remaining < leastAttemptTime ? undefined : this.place(call);
            if (placement === undefined) {
                this.giveUp(call);
                return;
            }
            const outcome = await this.attempt(call, placement);
            if (outcome.kind === "delivered" || outcome.kind === "callerGone") {
                return;
            }
            if (!this.mayGoOn(call, outcome)) {
                this.finish(call, outcome);
                return;
            }
        }
    }

    private place(call: AdmittedCall): Placement | undefined {
        const { chooser, fleet } = this.parts;
        return chooser.choose(this.toPlace(call), fleet.serving(call.service.name), this.now());
    }

    private toPlace({ route, service, shortestPause }: AdmittedCall): CallToPlace {
        return { route, service, shortestPause, traits: this.traits, excluded: this.tried };
    }

    /** Whether another endpoint may be tried after an attempt that failed. */
    private mayGoOn(
        call: AdmittedCall,
        outcome: Exclude<AttemptOutcome, { kind: "delivered" | "callerGone"; }>,
    ): boolean {
        const { allowance, entryCount } = this.parts;
        const { route, service } = call;
        if (this.callerGone || this.remaining(route) < leastAttemptTime) {
            return false;
        }
        if (outcome.kind === "notRun") {
            this.rejections++;
            if (!outcome.isFull) {
                return this.rejections < maximumRejections + this.parts.fleet.serving(service.name).length;
            }
            return this.rejections < maximumRejections && allowance.takeRepeat(service.name, entryCount(), this.now());
        }
        return route.repeatRule === "repeatable"
            && this.attempts < route.maximumAttempts
            && this.parts.fleet.serving(service.name).some(endpoint => !this.tried.has(endpoint))
            && allowance.takeRepeat(service.name, entryCount(), this.now());
    }

    /** Gives the caller the final answer after the last attempt. */
    private finish(call: AdmittedCall, outcome: Exclude<AttemptOutcome, { kind: "delivered" | "callerGone"; }>): void {
        if (this.callerGone) {
            return;
        }
        if (outcome.kind === "failedAnswer") {
            this.passOn(outcome.message, outcome.body);
            return;
        }
        if (outcome.kind === "notRun" && this.attempts === 0) {
            this.giveUp(call);
            return;
        }
        const isLate = this.remaining(call.route) < leastAttemptTime;
        this.fail(failure(isLate ? "callTimedOutAtEndpoint" : "callOutcomeUnknown"), call);
    }

    /** Ends a call for which no endpoint is left. */
    private giveUp(call: AdmittedCall): void {
        if (this.attempts > 0) {
            this.fail(failure("callOutcomeUnknown"), call);
            return;
        }
        const code = this.rejections > 0 ? "endpointsBusy" : "noEndpointAvailable";
        this.refuse({ reason: failure(code), call, retryAfter: this.retryAfter(call) });
    }

    private retryAfter(call: AdmittedCall): Milliseconds {
        const longest = Math.max(0, this.remaining(call.route)) * retryAfterFraction;
        return Math.min(longest, leastRetryAfter * (1 + this.parts.random.float()));
    }

    private async attempt(call: AdmittedCall, placement: Placement): Promise<AttemptOutcome> {
        const { endpoint, unreadTokens } = placement;
        const { route } = call;
        this.tried.add(endpoint);
        const outstanding = {
            pendingTokens: unreadTokens,
            isPauseSensitive: route.targetPause !== undefined,
        };
        const sentAt = this.now();
        endpoint.begin(outstanding, sentAt);
        this.logDispatch(call, placement);
        const exchange = this.send(call, endpoint);
        const limit = setTimeout(() => {
            exchange.cancel("the time of the call is over");
        }, Math.max(1, this.remaining(route)));
        try {
            const head = await this.awaitHead(exchange, call);
            const outcome = await this.takeHead(head, call, placement, () => {
                outstanding.pendingTokens = 0;
                this.parts.chooser.noteBegun(this.toPlace(call), placement, this.now() - sentAt, this.now());
            });
            this.note(endpoint, outcome, sentAt);
            return this.callerGone ? { kind: "callerGone" } : outcome;
        }
        finally {
            clearTimeout(limit);
            this.exchange = undefined;
            endpoint.end(outstanding);
        }
    }

    private send(call: AdmittedCall, endpoint: HostedEndpoint): EndpointExchange {
        const { route, team, body } = call;
        const { method = "GET", url = "/", rawHeaders } = this.request;
        const exchange = new EndpointExchange({
            agent: endpoint.agent,
            address: endpoint.record.address,
            method,
            target: url,
            headers: headersTowardsEndpoint(rawHeaders, {
                endpointId: endpoint.id,
                team: team?.name,
                remainingTime: this.remaining(route),
                urgency: call.service.engine === undefined ? undefined : call.urgency,
                lastEventId: this.passedEventId,
            }),
            body,
        });
        this.exchange = exchange;
        return exchange;
    }

    /** Waits for the head; a stream that may be repeated is taken away from an endpoint that stays silent. */
    private async awaitHead(exchange: EndpointExchange, { route }: AdmittedCall): Promise<ExchangeHead> {
        const stall = this.mayMove(route) ? Math.max(leastStall, route.targetLatency) : undefined;
        const timer = stall === undefined ? undefined : setTimeout(() => {
            exchange.cancel("no answer in time");
        }, stall);
        const head = await exchange.head();
        clearTimeout(timer);
        return head;
    }

    private mayMove(route: DeployedRoute): boolean {
        return route.repeatRule === "repeatable" && this.attempts + 1 < route.maximumAttempts;
    }

    private async takeHead(
        head: ExchangeHead,
        call: AdmittedCall,
        placement: Placement,
        onBegun: () => void,
    ): Promise<AttemptOutcome> {
        if (head.kind === "notSent") {
            return { kind: "notRun", reason: head.reason, isFull: false };
        }
        if (head.kind === "lost") {
            this.attempts++;
            return { kind: "lost", reason: head.reason };
        }
        const { message, traits } = head;
        placement.endpoint.noteHeard(this.now());
        if (traits.closesConnection) {
            placement.endpoint.noteClosing(this.now());
        }
        if (traits.load !== undefined) {
            placement.endpoint.noteLoad(traits.load, this.now());
        }
        const isForeign = traits.callId !== undefined && traits.callId !== this.traits.callId;
        if (traits.isNotRun && !isForeign) {
            message.resume();
            return { kind: "notRun", reason: `status ${traits.status}`, isFull: !traits.isMisdirected };
        }
        this.attempts++;
        const isSuccess = traits.status >= 200 && traits.status < 300;
        const isUnsound = isForeign || traits.isEncoded
            || (isSuccess && (!traits.isProven || traits.callId === undefined));
        if (isUnsound) {
            this.exchange?.cancel("the answer is not the endpoint's own to this call");
            return {
                kind: "lost",
                reason: isForeign ? "the answer belongs to another call" : "the answer is not proven",
            };
        }
        return isSuccess && call.route.streaming
            ? this.relayStream(message, call, placement.endpoint, onBegun)
            : this.relayWhole(message, call, isSuccess, onBegun);
    }

    private async relayWhole(
        message: IncomingMessage,
        call: AdmittedCall,
        isSuccess: boolean,
        onBegun: () => void,
    ): Promise<AttemptOutcome> {
        const body = await readWhole(message);
        const isWhole = this.exchange?.isWhole(message) === true;
        onBegun();
        this.noteBegun(call);
        if (body === undefined || !isWhole) {
            return { kind: "lost", reason: "the answer broke off" };
        }
        if (!isSuccess) {
            return { kind: "failedAnswer", message, body };
        }
        this.passOn(message, body);
        return { kind: "delivered" };
    }

    /** Passes events on as they come; resolves when the stream has ended or broken off. */
    private async relayStream(
        message: IncomingMessage,
        call: AdmittedCall,
        endpoint: HostedEndpoint,
        onBegun: () => void,
    ): Promise<AttemptOutcome> {
        const { route } = call;
        const splitter = new EventSplitter(this.passedEventId);
        let hasBegun = false;
        let heardAt = this.now();
        const stall = setInterval(() => {
            const bound = Math.max(leastStall, stalledPauses * (route.targetPause ?? 0));
            if (this.mayMove(route) && this.now() - heardAt > bound) {
                this.exchange?.cancel("no event in time");
            }
        }, leastStall / 4);
        try {
            for await (const chunk of message as AsyncIterable<Buffer>) {
                const now = this.now();
                endpoint.noteHeard(now);
                const events = splitter.push(chunk);
                if (events === undefined) {
                    continue;
                }
                if (!hasBegun) {
                    hasBegun = true;
                    onBegun();
                    this.noteBegun(call);
                }
                else {
                    this.longestPause = Math.max(this.longestPause, now - heardAt);
                }
                heardAt = now;
                await this.passEvents(message, events.bytes, events.lastId);
            }
        }
        catch (error) {
            return { kind: "lost", reason: error instanceof Error ? error.message : String(error) };
        }
        finally {
            clearInterval(stall);
        }
        if (this.exchange?.isWhole(message) !== true) {
            return { kind: "lost", reason: "the stream broke off" };
        }
        this.beginAnswer(message);
        this.response.end(splitter.incomplete);
        this.noteDelivered(message.statusCode ?? 0, endpoint);
        return { kind: "delivered" };
    }

    private async passEvents(message: IncomingMessage, bytes: Buffer, lastId: number | undefined): Promise<void> {
        this.beginAnswer(message);
        this.firstEventAfter ??= this.elapsed();
        this.passedEventId = lastId ?? this.passedEventId;
        if (!this.response.write(bytes) && !this.callerGone) {
            await drained(this.response);
        }
    }

    /** Sends the head of a stream, once; a resumed one keeps the head of its first endpoint. */
    private beginAnswer(message: IncomingMessage): void {
        if (!this.response.headersSent) {
            const headers = withoutLength(headersTowardsCaller(message.rawHeaders));
            this.response.writeHead(message.statusCode ?? 200, headers);
        }
    }

    /** Passes on a whole answer as it is. */
    private passOn(message: IncomingMessage, body: Buffer): void {
        if (this.response.headersSent || this.callerGone) {
            this.response.destroy();
            return;
        }
        const headers = withoutLength(headersTowardsCaller(message.rawHeaders));
        headers.push("Content-Length", String(body.length));
        this.response.writeHead(message.statusCode ?? 502, headers);
        this.response.end(body);
        this.noteDelivered(message.statusCode ?? 0, undefined);
    }

    private noteBegun({ team }: AdmittedCall): void {
        const { counts, medianClock, clock } = this.parts;
        // A run that a resumed stream continues has been counted with its first endpoint.
        if (team !== undefined && this.attempts === 1) {
            counts.noteBegun(team.name, medianClock.unixAt(clock));
        }
    }

    private noteDelivered(status: number, endpoint: HostedEndpoint | undefined): void {
        this.parts.counters.count("answered");
        this.parts.counters.recordTime(this.elapsed());
        this.parts.eventLog.write("callAnswered", {
            requestId: this.traits.callId,
            status,
            attempts: this.attempts,
            endpoint: endpoint?.id,
            firstEvent: this.firstEventAfter,
            longestPause: Math.round(this.longestPause),
            total: this.elapsed(),
        });
    }

    /** Learns from the end of an attempt. */
    private note(endpoint: HostedEndpoint, outcome: AttemptOutcome, sentAt: Milliseconds): void {
        if (outcome.kind === "delivered") {
            endpoint.noteSuccess();
            return;
        }
        if (this.callerGone || outcome.kind === "callerGone") {
            return;
        }
        const now = this.now();
        if (outcome.kind === "failedAnswer") {
            endpoint.noteFailedAnswer();
        }
        else if (outcome.kind === "notRun" && outcome.isFull) {
            endpoint.noteFull(now);
        }
        else {
            endpoint.noteFailure(now);
        }
        this.parts.counters.count("attemptFailed");
        this.parts.eventLog.write("callAttemptFailed", {
            requestId: this.traits.callId,
            attempt: this.attempts,
            endpoint: endpoint.id,
            outcome: outcome.kind,
            reason: outcome.kind === "failedAnswer" ? `status ${outcome.message.statusCode ?? 0}` : outcome.reason,
            elapsed: Math.round(now - sentAt),
        });
    }

    private logDispatch(call: AdmittedCall, { endpoint, predictedWait }: Placement): void {
        this.parts.counters.count("dispatched");
        this.parts.eventLog.write("callDispatched", {
            requestId: this.traits.callId,
            attempt: this.attempts + 1,
            endpoint: endpoint.id,
            version: call.version,
            outstanding: endpoint.outstanding,
            predictedWait: Math.round(predictedWait),
            remaining: Math.round(this.remaining(call.route)),
        });
    }

    /** Refuses a call that has not run. */
    private refuse({ reason, call, retryAfter }: Refusal): void {
        const { view, suspension, eventLog, counters } = this.parts;
        const seconds = retryAfter === undefined ? undefined : (retryAfter / 1000).toFixed(3);
        counters.count("refused");
        eventLog.write("callRefused", {
            requestId: this.traits.callId,
            team: call?.team?.name,
            route: call?.route.name,
            code: reason.code,
            version: view.version,
            permitAge: Math.round(view.permitAge(suspension.now())),
            waited: this.elapsed(),
            retryAfter: seconds,
        });
        this.request.resume();
        answerFailure(this.response, reason, seconds === undefined ? {} : { "retry-after": seconds });
    }

    /** Ends a call that may have run; an answer that has begun is cut, so that it does not look complete. */
    private fail(reason: Failure, call: AdmittedCall): void {
        this.parts.counters.count("failed");
        this.parts.eventLog.write("callFailed", {
            requestId: this.traits.callId,
            team: call.team?.name,
            route: call.route.name,
            code: reason.code,
            version: call.version,
            waited: this.elapsed(),
        });
        if (this.response.headersSent) {
            this.response.destroy();
            return;
        }
        answerFailure(this.response, reason);
    }
}

function hasBody(request: IncomingMessage): boolean {
    return request.headers["content-length"] !== undefined || request.headers["transfer-encoding"] !== undefined;
}

function withoutLength(headers: readonly string[]): string[] {
    return headers.flatMap((name, index) =>
        index % 2 === 0 && name.toLowerCase() !== "content-length" ? [name, headers[index + 1] ?? ""] : []
    );
}

/** Reads an answer to its end; undefined where it broke off. */
async function readWhole(message: IncomingMessage): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of message as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
    }
    catch {
        // The caller of this function reports that the answer broke off.
        return undefined;
    }
    return Buffer.concat(chunks);
}

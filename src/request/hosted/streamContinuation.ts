import type { HostedEndpoint } from "../../process/hosted/entry/hostedEndpoint.js";
import type { StreamOrigin } from "../../process/hosted/streamOrigin.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Milliseconds } from "../../util/clock.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { waitForSocketPoll } from "../../util/waitForSocketPoll.js";
import { withService } from "./callAdmission.js";
import type { AdmittedCall, CallContext, Refusal } from "./callContext.js";
import type { CallTraits } from "./callTraits.js";
import { shortId } from "./shortId.js";

/** `retry-after` time of a call whose stream no process knows; the process that does may be heard of again by then. */
const unknownOriginRetryAfter: Milliseconds = 500;

/** Keeps a stream at the service and software version that began it, in one response and over a caller's attempts. */
export class StreamContinuation {
    private origin: StreamOrigin | undefined;

    /** @param relayedOrigin What began the stream, as the entry that relays the call states it. */
    constructor(
        private readonly traits: CallTraits,
        private readonly context: CallContext,
        private readonly relayedOrigin: StreamOrigin | undefined,
    ) {}

    /** Whether the caller has received a part of the stream in an earlier attempt. */
    get isContinued(): boolean {
        return this.traits.lastEventId !== undefined;
    }

    /**
     * Finds out what began the stream that a call continues.
     *
     * @returns The call, at the service that began the stream, or the reason why it cannot be continued.
     */
    async resolve(call: AdmittedCall): Promise<Result<AdmittedCall, Refusal>> {
        if (!call.route.streaming || !this.isContinued) {
            return Ok(call);
        }
        const origin = this.relayedOrigin ?? await this.findOrigin(call);
        await waitForSocketPoll();
        if (origin === undefined) {
            return Err({ reason: failure("streamOriginUnknown"), call, retryAfter: unknownOriginRetryAfter });
        }
        this.origin = origin;
        const { service, softwareVersion = "unknown" } = origin;
        const continued = withService(call, service, this.context);
        return continued !== undefined && this.context.fleet.serving(service).some(endpoint => this.accepts(endpoint))
            ? Ok(continued)
            : Err({ reason: failure("streamVersionUnavailable", { service, version: softwareVersion }), call });
    }

    /** Whether an endpoint may run the call: any before the first event, then those of the version that began it. */
    accepts({ record }: HostedEndpoint): boolean {
        const { origin } = this;
        return origin === undefined || (
            origin.softwareVersion !== undefined
            && record.softwareVersion === origin.softwareVersion
            && record.service === origin.service
        );
    }

    /** What began the stream, for another entry that continues it; undefined if that is not known exactly. */
    get statedOrigin(): StreamOrigin | undefined {
        return this.origin?.softwareVersion === undefined ? undefined : this.origin;
    }

    /**
     * Records that another entry has sent the first event of a response.
     *
     * @param origin What began the stream; undefined if the other entry does not state it.
     */
    recordRelayedEvent({ service }: AdmittedCall, origin: StreamOrigin | undefined): void {
        this.origin ??= origin ?? { service: service.name, softwareVersion: undefined };
    }

    /** Records that an endpoint has sent the first event of a response. */
    recordFirstEvent({ team, route }: AdmittedCall, { record }: HostedEndpoint, now: Milliseconds): void {
        this.origin ??= { service: record.service, softwareVersion: record.softwareVersion };
        const { callId } = this.traits;
        if (callId !== undefined && route.repeatRule === "repeatable") {
            this.context.streamOrigins.recordStart(team?.name, shortId(callId), this.origin, route.timeout, now);
        }
    }

    private async findOrigin({ route, team }: AdmittedCall): Promise<StreamOrigin | undefined> {
        const { streamOrigins, fleet, clock } = this.context;
        const { resumedCallId } = this.traits;
        const answer = await streamOrigins.find(team?.name, shortId(resumedCallId ?? ""));
        if (answer.origin !== undefined || !answer.isFromLeader) {
            return answer.origin;
        }
        const [target, ...otherTargets] = route.targets;
        return target === undefined || otherTargets.length > 0
            ? undefined
            : fleet.onlyOrigin(target.service, route.timeout, clock.now());
    }
}

import { createHash } from "node:crypto";
import { probeListener } from "../connection/probeListener.js";
import type { EndpointState } from "../process/entry/endpointState.js";
import type { DispatchRefusal } from "../process/entry/poolDispatcher.js";
import { failure } from "../resultCode/resultCode.js";
import type { Milliseconds } from "../util/clock.js";
import type { RequestContext } from "./requestContext.js";

/** Time within which the host of an ended endpoint refuses a connection; several times the round-trip time. */
const crashProbeTimeout: Milliseconds = 250;

/** Reports crashes of endpoints under a request, and refuses the request while it is held back because of them. */
export class RequestCrashGuard {
    /** Identical requests of a team have the same digest. */
    private readonly digest: string;

    constructor(private readonly context: RequestContext) {
        const { identity, request, body } = context;
        this.digest = createHash("sha256")
            .update(JSON.stringify([identity?.team.name ?? "", request.method, request.url]))
            .update(body)
            .digest("base64url");
    }

    /** Why the request must not be sent to an endpoint; undefined if it may be. */
    refusal(now: Milliseconds): DispatchRefusal | undefined {
        const retryAfter = this.context.quarantine.remainingHold(this.digest, now);
        return retryAfter === undefined ? undefined : { failure: failure("requestCrashesEndpoints"), retryAfter };
    }

    /** Reports a crash if the endpoint that lost the request has ended: its host refuses connections. */
    async recordLoss({ name, description }: EndpointState): Promise<void> {
        if (await probeListener(description.address, crashProbeTimeout) === "refused") {
            this.context.quarantine.recordCrash(this.digest, name);
        }
    }

    /** Records that an endpoint answered the request in full. */
    recordSound(): void {
        this.context.quarantine.recordSound(this.digest);
    }
}

import { httpCall } from "../connection/httpCall.js";
import type { HttpCallResponse } from "../connection/httpCall.js";
import { failure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { staggeredRace } from "../util/staggeredRace.js";

/** Timeout of one call to one control process, in milliseconds. */
const callTimeout: Milliseconds = 5_000;

/** Time without a response after which the call is also sent to the next control process, in milliseconds. */
const defaultHedgeDelay: Milliseconds = 500;

/** Time after which no further round over the control processes starts, in milliseconds. */
const overallTimeout: Milliseconds = 15_000;

/** Delay between two rounds over the control processes, in milliseconds. */
const roundDelay: Milliseconds = 200;

/** Status with which a control process refuses a call that another one may be able to serve. */
const unavailableStatus = 503;

/** A call to the operator API of the control processes. */
export interface OperatorCall {
    readonly method: string;
    /** Path and query string. */
    readonly path: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Client of the operator API. Tries the control processes until one of them can serve the call. */
export class OperatorClient {
    private sentCalls = 0;

    /**
     * @param addresses Operator addresses of the control processes.
     * @param token Operator token, sent as a bearer token.
     * @param hedgeDelay Time without a response after which the call is also sent to the next control process.
     */
    constructor(
        private readonly addresses: readonly string[],
        private readonly token: string,
        private readonly clock: Clock,
        private readonly hedgeDelay: Milliseconds = defaultHedgeDelay,
    ) {}

    /** Number of HTTP calls sent to control processes so far. */
    get sentCallCount(): number {
        return this.sentCalls;
    }

    /**
     * Sends a call to the control processes in turn, as hedged requests: more than one of them may receive it. This is
     * safe because every call of the operator API is idempotent.
     *
     * @returns The first response with a status other than 503, or the last response with status 503 if there is no
     * other; `controlUnreachable` if no control process responded.
     */
    async call(call: OperatorCall): Promise<Result<HttpCallResponse, Failure>> {
        const deadline = this.clock.now() + overallTimeout;
        let unavailableResponse: HttpCallResponse | undefined;
        do {
            const attempts = this.addresses.map(address => async (signal: AbortSignal) => {
                const response = await this.callAddress(address, call, signal);
                if (response?.status === unavailableStatus) {
                    unavailableResponse = response;
                    return undefined;
                }
                return response;
            });
            const response = await staggeredRace(attempts, this.hedgeDelay, this.clock);
            if (response !== undefined) {
                return Ok(response);
            }
            await this.clock.sleep(roundDelay);
        }
        while (this.clock.now() < deadline);
        return unavailableResponse === undefined
            ? Err(failure("controlUnreachable", { addresses: this.addresses.join(", ") }))
            : Ok(unavailableResponse);
    }

    private async callAddress(
        address: string,
        call: OperatorCall,
        signal: AbortSignal,
    ): Promise<HttpCallResponse | undefined> {
        this.sentCalls += 1;
        const headers = { ...call.headers, authorization: `Bearer ${this.token}` };
        const response = await httpCall({ ...call, address, headers, timeout: callTimeout, signal });
        return response.ok ? response.val : undefined;
    }
}

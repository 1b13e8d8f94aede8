import { httpCall } from "../connection/httpCall.js";
import type { HttpCallAnswer } from "../connection/httpCall.js";
import { failure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";

/** Longest time for one call to one control process, in milliseconds. */
const callTimeout: Milliseconds = 40_000;

/** Longest search for a control process that can answer, in milliseconds. */
const searchTimeout: Milliseconds = 10_000;

/** Pause between two rounds over the control processes, in milliseconds. */
const roundPause: Milliseconds = 200;

/** Status of an answer that another control process may be able to give. */
const unavailableStatus = 503;

/** A call to the operator interface of the control processes. */
export interface OperatorCall {
    readonly method: string;
    /** Path and query. */
    readonly path: string;
    readonly body?: string;
    readonly headers?: Readonly<Record<string, string>>;
}

/** Calls the operator interface of whichever control process can answer. */
export class OperatorClient {
    /**
     * @param addresses Operator addresses of the control processes.
     * @param token The operator's token.
     */
    constructor(
        private readonly addresses: readonly string[],
        private readonly token: string,
        private readonly clock: Clock,
    ) {}

    /** Asks the control processes in turn; every call of the interface may be repeated without harm. */
    async call(call: OperatorCall): Promise<Result<HttpCallAnswer, Failure>> {
        const end = this.clock.now() + searchTimeout;
        let unavailable: HttpCallAnswer | undefined;
        do {
            for (const address of this.addresses) {
                const answer = await this.ask(address, call);
                if (answer !== undefined && answer.status !== unavailableStatus) {
                    return Ok(answer);
                }
                unavailable = answer ?? unavailable;
            }
            await this.clock.sleep(roundPause);
        }
        while (this.clock.now() < end);
        return unavailable === undefined
            ? Err(failure("controlUnreachable", { addresses: this.addresses.join(", ") }))
            : Ok(unavailable);
    }

    private async ask(address: string, call: OperatorCall): Promise<HttpCallAnswer | undefined> {
        const headers = { ...call.headers, authorization: `Bearer ${this.token}` };
        const answer = await httpCall({ ...call, address, headers, timeout: callTimeout });
        return answer.ok ? answer.val : undefined;
    }
}

import { httpCall } from "../connection/httpCall.js";
import type { HttpCallAnswer } from "../connection/httpCall.js";
import { failure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";
import type { Clock, Milliseconds } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { staggeredRace } from "../util/staggeredRace.js";

/** Longest time for one call to one control process, in milliseconds. */
const callTimeout: Milliseconds = 5_000;

/** How long a control process may be silent before the next one is asked as well, in milliseconds. */
const defaultStagger: Milliseconds = 500;

/** Longest search for a control process that can answer, in milliseconds. */
const searchTimeout: Milliseconds = 15_000;

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
    private sent = 0;

    /**
     * @param addresses Operator addresses of the control processes.
     * @param token The operator's token.
     * @param stagger How long a control process may be silent before the next one is asked as well.
     */
    constructor(
        private readonly addresses: readonly string[],
        private readonly token: string,
        private readonly clock: Clock,
        private readonly stagger: Milliseconds = defaultStagger,
    ) {}

    /** Calls that were sent to control processes so far. */
    get callsSent(): number {
        return this.sent;
    }

    /** Asks the control processes in turn; every call of the interface may be repeated without harm. */
    async call(call: OperatorCall): Promise<Result<HttpCallAnswer, Failure>> {
        const end = this.clock.now() + searchTimeout;
        let unavailable: HttpCallAnswer | undefined;
        do {
            const attempts = this.addresses.map(address => async (signal: AbortSignal) => {
                const answer = await this.ask(address, call, signal);
                if (answer?.status === unavailableStatus) {
                    unavailable = answer;
                    return undefined;
                }
                return answer;
            });
            const answer = await staggeredRace(attempts, this.stagger, this.clock);
            if (answer !== undefined) {
                return Ok(answer);
            }
            await this.clock.sleep(roundPause);
        }
        while (this.clock.now() < end);
        return unavailable === undefined
            ? Err(failure("controlUnreachable", { addresses: this.addresses.join(", ") }))
            : Ok(unavailable);
    }

    private async ask(
        address: string,
        call: OperatorCall,
        signal: AbortSignal,
    ): Promise<HttpCallAnswer | undefined> {
        this.sent += 1;
        const headers = { ...call.headers, authorization: `Bearer ${this.token}` };
        const answer = await httpCall({ ...call, address, headers, timeout: callTimeout, signal });
        return answer.ok ? answer.val : undefined;
    }
}

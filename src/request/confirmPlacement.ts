import type { DispatchRefusal } from "../process/entry/poolDispatcher.js";
import { failure } from "../resultCode/resultCode.js";
import { waitForSocketPoll } from "../util/waitForSocketPoll.js";
import type { RequestContext } from "./requestContext.js";

/**
 * Lets the event loop read what callers and control have sent meanwhile, and checks whether a request that was given an
 * endpoint may still be sent to it.
 *
 * @returns Why the request must not be sent; undefined if it may be sent in this turn of the event loop.
 */
export async function confirmPlacement(
    { callerAbortSignal, isKeyValid, servingFailure }: RequestContext,
): Promise<DispatchRefusal | undefined> {
    await waitForSocketPoll();
    const reason = callerAbortSignal.aborted
        ? failure("callerLeft")
        : isKeyValid()
        ? servingFailure()
        : failure("keyWithdrawnWhileRunning");
    return reason === undefined ? undefined : { failure: reason, retryAfter: undefined };
}

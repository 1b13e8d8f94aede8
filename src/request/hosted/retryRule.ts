import { match } from "ts-pattern";
import type { DeployedRoute } from "../../version/deployment.js";
import type { FailedOutcome } from "./endpointAttempt.js";

/** Number of endpoint rejections after which a call is not retried any more. */
const maximumRejections = 3;

/** Whether a call may be retried at another endpoint, and whether the retry counts against the retry budget. */
export type RetryDecision = "free" | "counted" | "forbidden";

/**
 * Decides whether a call may be retried after an attempt that did not deliver a response.
 *
 * Every attempt that reached an endpoint counts against the retry budget, even if the endpoint rejected it: otherwise a
 * stale endpoint list would multiply the calls of all entries.
 *
 * @param executions Number of attempts so far in which the call may have run.
 * @param rejections Number of attempts so far in which an endpoint rejected the call.
 */
export function decideRetry(
    outcome: FailedOutcome,
    route: DeployedRoute,
    executions: number,
    rejections: number,
): RetryDecision {
    const mayRunAgain = route.repeatRule === "repeatable" && executions < route.maximumAttempts;
    return match(outcome)
        .returnType<RetryDecision>()
        .with({ kind: "notRun", cause: "unreached" }, () => "free")
        .with({ kind: "notRun" }, () => rejections < maximumRejections ? "counted" : "forbidden")
        .with({ kind: "failedAnswer" }, { kind: "lost" }, () => mayRunAgain ? "counted" : "forbidden")
        .exhaustive();
}

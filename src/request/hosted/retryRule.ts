import { match } from "ts-pattern";
import type { DeployedRoute } from "../../version/deployment.js";
import type { FailedOutcome } from "./endpointAttempt.js";

/** Endpoints that may reject a call before it is refused. */
const maximumRejections = 3;

/** Whether a call may go to a further endpoint, and whether that counts against the allowance for repeats. */
export type Repeat = "free" | "counted" | "forbidden";

/**
 * Decides what may follow an attempt that did not give the caller its answer.
 *
 * Whatever has reached an endpoint counts, also where the endpoint rejected it: a stale list of endpoints would otherwise
 * multiply the calls of all entries.
 *
 * @param runs Attempts so far in which the call may have run.
 * @param rejections Attempts so far in which an endpoint rejected the call.
 */
export function repeatAfter(outcome: FailedOutcome, route: DeployedRoute, runs: number, rejections: number): Repeat {
    const mayRunAgain = route.repeatRule === "repeatable" && runs < route.maximumAttempts;
    return match(outcome)
        .returnType<Repeat>()
        .with({ kind: "notRun", cause: "unreached" }, () => "free")
        .with({ kind: "notRun" }, () => rejections < maximumRejections ? "counted" : "forbidden")
        .with({ kind: "failedAnswer" }, { kind: "lost" }, () => mayRunAgain ? "counted" : "forbidden")
        .exhaustive();
}

import type { FailedOutcome } from "../../../src/request/hosted/endpointAttempt.js";
import { decideRetry } from "../../../src/request/hosted/retryRule.js";
import type { RetryDecision } from "../../../src/request/hosted/retryRule.js";
import type { DeployedRoute } from "../../../src/version/deployment.js";
import { describe, it } from "../../describe.js";

const onceRoute: DeployedRoute = {
    name: "bookings",
    host: "calls.example",
    pathPrefix: "/",
    streaming: false,
    repeatRule: "once",
    timeout: 1_000,
    targetLatency: 1_000,
    targetEventGap: undefined,
    tier: 0,
    targets: [],
    maximumAttempts: 2,
    isPublic: false,
};
const repeatableRoute: DeployedRoute = { ...onceRoute, repeatRule: "repeatable" };

const unreached: FailedOutcome = { kind: "notRun", reason: "refused", cause: "unreached" };
const full: FailedOutcome = { kind: "notRun", reason: "status 503", cause: "full" };
const misdirected: FailedOutcome = { kind: "notRun", reason: "status 421", cause: "misdirected" };
const lost: FailedOutcome = { kind: "lost", reason: "reset", fault: "reset", wasDisconnected: true };

const cases: readonly (readonly [string, FailedOutcome, DeployedRoute, number, number, RetryDecision])[] = [
    ["retries a call that reached no endpoint without using the budget", unreached, onceRoute, 0, 0, "free"],
    ["counts a retry after a misdirected call", misdirected, onceRoute, 0, 1, "counted"],
    ["counts a retry after an endpoint at capacity", full, onceRoute, 0, 1, "counted"],
    ["stops after three rejections", misdirected, onceRoute, 0, 3, "forbidden"],
    ["never retries a call that may have run and must run at most once", lost, onceRoute, 1, 0, "forbidden"],
    ["retries a repeatable call that may have run", lost, repeatableRoute, 1, 0, "counted"],
    ["stops at the maximum attempts of the route", lost, repeatableRoute, 2, 0, "forbidden"],
];

describe("retry rule", () => {
    for (const [title, outcome, route, executions, rejections, expected] of cases) {
        it(title, t => {
            t.is(decideRetry(outcome, route, executions, rejections), expected);
        });
    }
});

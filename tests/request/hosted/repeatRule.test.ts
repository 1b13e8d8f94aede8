import type { FailedOutcome } from "../../../src/request/hosted/endpointAttempt.js";
import { repeatAfter } from "../../../src/request/hosted/repeatRule.js";
import type { Repeat } from "../../../src/request/hosted/repeatRule.js";
import type { DeployedRoute } from "../../../src/version/deployment.js";
import { describe, it } from "../../describe.js";

const once: DeployedRoute = {
    name: "bookings",
    host: "calls.example",
    pathPrefix: "/",
    streaming: false,
    repeatRule: "once",
    timeout: 1_000,
    targetLatency: 1_000,
    targetPause: undefined,
    tier: 0,
    targets: [],
    maximumAttempts: 2,
    isPublic: false,
};
const repeatable: DeployedRoute = { ...once, repeatRule: "repeatable" };

const unreached: FailedOutcome = { kind: "notRun", reason: "refused", cause: "unreached" };
const full: FailedOutcome = { kind: "notRun", reason: "status 503", cause: "full" };
const misdirected: FailedOutcome = { kind: "notRun", reason: "status 421", cause: "misdirected" };
const lost: FailedOutcome = { kind: "lost", reason: "reset" };

const cases: readonly (readonly [string, FailedOutcome, DeployedRoute, number, number, Repeat])[] = [
    ["retries a call that reached no endpoint without using the budget", unreached, once, 0, 0, "free"],
    ["counts a retry after a misdirected call", misdirected, once, 0, 1, "counted"],
    ["counts a retry after an endpoint at capacity", full, once, 0, 1, "counted"],
    ["stops after three rejections", misdirected, once, 0, 3, "forbidden"],
    ["never retries a call that may have run and must run at most once", lost, once, 1, 0, "forbidden"],
    ["retries a repeatable call that may have run", lost, repeatable, 1, 0, "counted"],
    ["stops at the maximum attempts of the route", lost, repeatable, 2, 0, "forbidden"],
];

describe("retry rule", () => {
    for (const [title, outcome, route, runs, rejections, expected] of cases) {
        it(title, t => {
            t.is(repeatAfter(outcome, route, runs, rejections), expected);
        });
    }
});

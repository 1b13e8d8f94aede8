import { longestRunDuration } from "../../../src/experiment/failover/statusPoller.js";
import { describe, it } from "../../describe.js";

function pollResults(...statuses: readonly number[]): Parameters<typeof longestRunDuration>[0] {
    return statuses.map((status, index) => ({ sentAt: index * 10, receivedAt: index * 10 + 2, status }));
}

describe("longestRunDuration", () => {
    it("measures from the first request to the last response of the longest run", t => {
        t.is(longestRunDuration(pollResults(503, 200, 503, 503, 503, 200, 503, 503), 503), 22);
    });

    it("is 0 if no result has the status", t => {
        t.is(longestRunDuration(pollResults(200, 401), 503), 0);
    });
});

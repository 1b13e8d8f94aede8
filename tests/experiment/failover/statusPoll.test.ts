import { longestRun } from "../../../src/experiment/failover/statusPoll.js";
import { describe, it } from "../../describe.js";

function answers(...statuses: readonly number[]): Parameters<typeof longestRun>[0] {
    return statuses.map((status, index) => ({ askedAt: index * 10, answeredAt: index * 10 + 2, status }));
}

describe("longestRun", () => {
    it("spans the longest unbroken run of a status", t => {
        t.is(longestRun(answers(503, 200, 503, 503, 503, 200, 503, 503), 503), 22);
    });

    it("is nothing where the status did not occur", t => {
        t.is(longestRun(answers(200, 401), 503), 0);
    });
});

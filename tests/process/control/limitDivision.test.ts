import fastCheck from "fast-check";
import { LimitDivision } from "../../../src/process/control/limitDivision.js";
import { describe, it } from "../../describe.js";

const limits = { requestsPerSecond: 100, tokensPerMinute: 6_000, concurrentRequests: 7 };
const entries = ["a", "b", "c"] as const;

describe("LimitDivision", () => {
    it("gives parts that never exceed the limit together, whatever the demands are", t => {
        const demand = fastCheck.record({
            requests: fastCheck.nat(1000),
            tokens: fastCheck.nat(100_000),
            concurrent: fastCheck.nat(50),
        });
        fastCheck.assert(
            fastCheck.property(fastCheck.tuple(demand, demand, demand), demands => {
                const division = new LimitDivision(() => limits, () => entries);
                const reports = entries.map((entry, index) => ({
                    entry,
                    demands: [{ owner: "team", ...demands[index] }],
                }));
                // The first round tells the demands, the second gives parts that know all of them.
                reports.forEach(report => division.divide(report.entry, report.demands as never, 0));
                const parts = reports.map(report => division.divide(report.entry, report.demands as never, 1)[0]?.part);
                for (const name of ["requestsPerSecond", "tokensPerMinute", "concurrentRequests"] as const) {
                    const sum = parts.reduce((total, part) => total + (part?.[name] ?? 0), 0);
                    t.true(Math.abs(sum - limits[name]) < 1e-6);
                }
            }),
            { seed: 31 },
        );
    });

    it("gives an entry that alone has demand nearly all, and forgets demands that are old", t => {
        const division = new LimitDivision(() => limits, () => entries);
        const demand = { owner: "team", requests: 50, tokens: 0, concurrent: 5 };
        const [alone] = division.divide("a", [demand], 0);
        t.true((alone?.part.requestsPerSecond ?? 0) > 90);
        const [later] = division.divide("b", [demand], 10_000);
        t.true((later?.part.requestsPerSecond ?? 0) > 90);
    });

    it("gives no part of a limit that does not exist", t => {
        const division = new LimitDivision(() => undefined, () => entries);
        t.deepEqual(division.divide("a", [{ owner: "team", requests: 1, tokens: 1, concurrent: 1 }], 0), []);
    });
});

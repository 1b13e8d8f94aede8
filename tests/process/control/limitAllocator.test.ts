import fastCheck from "fast-check";
import { LimitAllocator } from "../../../src/process/control/limitAllocator.js";
import { describe, it } from "../../describe.js";

const limits = { requestsPerSecond: 100, tokensPerMinute: 6_000, concurrentRequests: 7 };
const entries = ["a", "b", "c"] as const;

describe("LimitAllocator", () => {
    it("allocates shares that add up to each limit, for all demands", t => {
        const demand = fastCheck.record({
            requests: fastCheck.nat(1000),
            tokens: fastCheck.nat(100_000),
            concurrent: fastCheck.nat(50),
        });
        fastCheck.assert(
            fastCheck.property(fastCheck.tuple(demand, demand, demand), demands => {
                const allocator = new LimitAllocator(() => limits, () => entries);
                const reports = entries.map((entry, index) => ({
                    entry,
                    demands: [{ owner: "team", ...demands[index] }],
                }));
                // The first round reports the demands; the shares of the second round account for all of them.
                reports.forEach(report => allocator.allocate(report.entry, report.demands as never, 0));
                const parts = reports.map(report =>
                    allocator.allocate(report.entry, report.demands as never, 1)[0]?.part
                );
                for (const name of ["requestsPerSecond", "tokensPerMinute", "concurrentRequests"] as const) {
                    const sum = parts.reduce((total, part) => total + (part?.[name] ?? 0), 0);
                    t.true(Math.abs(sum - limits[name]) < 1e-6);
                }
            }),
            { seed: 31 },
        );
    });

    it("allocates nearly all to the only entry with demand, and ignores expired demands", t => {
        const allocator = new LimitAllocator(() => limits, () => entries);
        const demand = { owner: "team", requests: 50, tokens: 0, concurrent: 5 };
        const [alone] = allocator.allocate("a", [demand], 0);
        t.true((alone?.part.requestsPerSecond ?? 0) > 90);
        const [later] = allocator.allocate("b", [demand], 10_000);
        t.true((later?.part.requestsPerSecond ?? 0) > 90);
    });

    it("allocates no share if there is no limit", t => {
        const allocator = new LimitAllocator(() => undefined, () => entries);
        t.deepEqual(allocator.allocate("a", [{ owner: "team", requests: 1, tokens: 1, concurrent: 1 }], 0), []);
    });
});

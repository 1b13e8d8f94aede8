import { CrashedRequestLedger } from "../../../src/process/control/crashedRequestLedger.js";
import { describe, it } from "../../describe.js";

interface CrashedEndpoint {
    readonly endpoint: string;
    readonly at: number;
    readonly digests: readonly string[];
}

function ledgerOf(crashes: readonly CrashedEndpoint[]): CrashedRequestLedger {
    const ledger = new CrashedRequestLedger();
    for (const { endpoint, at, digests } of crashes) {
        ledger.report({ crashes: digests.map(digest => ({ endpoint, digest })), sound: [] }, at);
    }
    return ledger;
}

function heldDigests(ledger: CrashedRequestLedger, now: number): readonly string[] {
    return ledger.held(now).map(({ digest }) => digest);
}

describe("CrashedRequestLedger", () => {
    const cases: readonly (readonly [string, readonly CrashedEndpoint[], readonly string[]])[] = [
        [
            "holds a request back after crashes of two endpoints that ran it",
            [{ endpoint: "a", at: 0, digests: ["x"] }, { endpoint: "b", at: 10, digests: ["x"] }],
            ["x"],
        ],
        [
            "counts a crash once that several entries report",
            [{ endpoint: "a", at: 0, digests: ["x"] }, { endpoint: "a", at: 100, digests: ["x"] }],
            [],
        ],
        [
            "counts an endpoint that is back and crashes again",
            [{ endpoint: "a", at: 0, digests: ["x"] }, { endpoint: "a", at: 400, digests: ["x"] }],
            ["x"],
        ],
        [
            "does not hold back the requests that ran beside the cause",
            [
                { endpoint: "a", at: 0, digests: ["x", "y"] },
                { endpoint: "b", at: 10, digests: ["x", "z"] },
                { endpoint: "c", at: 500, digests: ["x"] },
            ],
            ["x"],
        ],
        [
            "holds nothing back if endpoints crash by the dozen",
            Array.from(Array(12).keys(), index => {
                return { endpoint: `e${index}`, at: index * 20, digests: index % 6 === 0 ? ["x"] : [`y${index}`] };
            }),
            [],
        ],
    ];
    for (const [title, crashes, expected] of cases) {
        it(title, t => {
            t.deepEqual(heldDigests(ledgerOf(crashes), 1_000), expected);
        });
    }

    it("releases a request that was answered in full, and one after a minute without crashes", t => {
        const crashes = [{ endpoint: "a", at: 0, digests: ["x"] }, { endpoint: "b", at: 10, digests: ["x"] }];
        const answered = ledgerOf(crashes);
        answered.report({ crashes: [], sound: ["x"] }, 500);
        t.deepEqual(heldDigests(answered, 1_000), []);
        t.deepEqual(ledgerOf(crashes).held(40_010), [{ digest: "x", remaining: 20_000 }]);
        t.deepEqual(heldDigests(ledgerOf(crashes), 60_010), []);
    });

    it("remembers a bounded number of crashes", t => {
        const ledger = ledgerOf([{ endpoint: "a", at: 0, digests: ["x"] }, { endpoint: "b", at: 10, digests: ["x"] }]);
        for (let index = 0; index < 300; index++) {
            ledger.report({ crashes: [{ endpoint: `f${index}`, digest: `f${index}` }], sound: [] }, 20_000);
        }
        t.deepEqual(heldDigests(ledger, 30_000), []);
    });
});

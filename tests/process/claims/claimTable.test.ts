import fastCheck from "fast-check";
import type { ClaimDecision, ClaimRequest, ClaimResult } from "../../../src/process/claims/claimCommand.js";
import { ClaimTable } from "../../../src/process/claims/claimTable.js";
import type { ClaimLimits } from "../../../src/process/claims/claimTable.js";
import { describe, it } from "../../describe.js";

const limits: ClaimLimits = {
    maximumClaims: 4,
    maximumResponseBytes: 10,
    maximumStoredBytes: 15,
    retention: 1_000,
};

function claimRequest(requestId: string, idempotencyKey = "k", requestDigest = "d"): ClaimRequest {
    return { team: "roster", idempotencyKey, requestId, requestDigest, timeoutAt: 500 };
}

function claim(
    table: ClaimTable,
    incarnation: string,
    requests: readonly ClaimRequest[],
    at = 0,
): readonly ClaimDecision[] {
    const batch = { kind: "claimBatch", entry: `entry of ${incarnation}`, incarnation, claims: requests, at } as const;
    const outcome = table.apply(batch, running => running !== "ended");
    return outcome.kind === "decided" ? outcome.decisions : [];
}

function kinds(decisions: readonly ClaimDecision[]): readonly string[] {
    return decisions.map(decision => decision.kind);
}

function settle(
    table: ClaimTable,
    requestId: string,
    result: ClaimResult["result"],
    idempotencyKey = "k",
    at = 1,
): void {
    const results = [{ team: "roster", idempotencyKey, requestId, result }];
    table.apply({ kind: "claimResultBatch", results, at }, () => true);
}

function answeredResult(length: number): ClaimResult["result"] {
    const body = new Uint8Array(length);
    return { kind: "answered", answer: { status: 200, contentType: "application/json", body } };
}

describe("ClaimTable", () => {
    describe("claimBatch", () => {
        it("grants only the first claim, and grants it again to the same proposal", t => {
            const table = new ClaimTable(limits);
            t.deepEqual(kinds(claim(table, "a", [claimRequest("1"), claimRequest("2")])), ["granted", "claimed"]);
            t.deepEqual(kinds(claim(table, "a", [claimRequest("1")])), ["granted"]);
            t.deepEqual(claim(table, "b", [claimRequest("3")]), [
                { kind: "claimed", entry: "entry of a", incarnation: "a" },
            ]);
            t.deepEqual(kinds(claim(table, "b", [claimRequest("3", "k", "other")])), ["conflict"]);
        });

        it("refuses claims of an ended incarnation and claims above the maximum number", t => {
            const table = new ClaimTable(limits);
            t.deepEqual(kinds(claim(table, "ended", [claimRequest("1")])), ["incarnationEnded"]);
            const many = ["1", "2", "3", "4", "5"].map(id => claimRequest(id, id));
            t.deepEqual(kinds(claim(table, "a", many)).slice(3), ["granted", "full"]);
        });
    });

    describe("claimResultBatch", () => {
        const cases = [
            { title: "a response", results: [answeredResult(10)], repeat: "answered" },
            { title: "a response above the size limit", results: [answeredResult(11)], repeat: "answerNotKept" },
            { title: "a request that did not run", results: [{ kind: "notRun" as const }], repeat: "granted" },
            { title: "an unknown outcome", results: [{ kind: "unknown" as const }], repeat: "unknown" },
            {
                title: "a late response after an unknown outcome",
                results: [{ kind: "unknown" as const }, answeredResult(1)],
                repeat: "answered",
            },
            {
                title: "a response that a later `notRun` contradicts",
                results: [answeredResult(1), { kind: "notRun" as const }],
                repeat: "answered",
            },
        ];
        for (const { title, results, repeat } of cases) {
            it(`decides on a repeat of ${title}`, t => {
                const table = new ClaimTable(limits);
                claim(table, "a", [claimRequest("1")]);
                results.forEach(result => {
                    settle(table, "1", result);
                });
                t.deepEqual(kinds(claim(table, "b", [claimRequest("2")], 2)), [repeat]);
            });
        }

        it("ignores the result of a request whose claim was not granted", t => {
            const table = new ClaimTable(limits);
            claim(table, "a", [claimRequest("1")]);
            settle(table, "2", { kind: "notRun" });
            t.deepEqual(kinds(claim(table, "b", [claimRequest("2")], 2)), ["claimed"]);
        });

        it("evicts the oldest bodies above the total size limit", t => {
            const table = new ClaimTable(limits);
            claim(table, "a", [claimRequest("1", "k"), claimRequest("2", "l")]);
            settle(table, "1", answeredResult(10), "k");
            settle(table, "2", answeredResult(10), "l");
            t.deepEqual(kinds(claim(table, "b", [claimRequest("3", "k"), claimRequest("4", "l")], 2)), [
                "answerNotKept",
                "answered",
            ]);
        });
    });

    describe("time", () => {
        it("settles a claim as unknown at its timeout or the end of its incarnation, and expires it later", t => {
            const table = new ClaimTable(limits);
            claim(table, "a", [claimRequest("1", "k")]);
            claim(table, "b", [claimRequest("2", "l")]);
            table.apply({ kind: "endIncarnation", incarnation: "a", at: 100 }, () => true);
            t.is(table.find(claimRequest("1", "k"))?.state.kind, "unknown");
            t.is(table.find(claimRequest("2", "l"))?.state.kind, "claimed");
            table.apply({ kind: "expireClaims", at: 500 }, () => true);
            t.is(table.find(claimRequest("2", "l"))?.state.kind, "unknown");
            table.apply({ kind: "expireClaims", at: 1_100 }, () => true);
            t.is(table.size, 1);
            table.apply({ kind: "expireClaims", at: 1_500 }, () => true);
            t.is(table.size, 0);
            t.is(table.nextExpiry(), undefined);
        });

        it("grants a key to at most one request under any order of commands and snapshots", t => {
            const step = fastCheck.record({
                kind: fastCheck.constantFrom("claim", "answer", "unknown", "end", "restore"),
                request: fastCheck.nat(5),
                incarnation: fastCheck.constantFrom("a", "b", "c"),
                wait: fastCheck.nat(60),
            });
            const property = fastCheck.property(fastCheck.array(step, { maxLength: 40 }), steps => {
                let table = new ClaimTable({ ...limits, retention: 1_000_000 });
                let now = 0;
                const granted = new Set<string>();
                for (const { kind, request: id, incarnation, wait } of steps) {
                    now += wait;
                    switch (kind) {
                        case "claim":
                            if (
                                kinds(claim(table, incarnation, [claimRequest(`${incarnation}${id}`)], now))[0]
                                    === "granted"
                            ) {
                                granted.add(`${incarnation}${id}`);
                            }
                            break;
                        case "end":
                            table.apply({ kind: "endIncarnation", incarnation, at: now }, () => true);
                            break;
                        case "restore": {
                            const restored = new ClaimTable({ ...limits, retention: 1_000_000 });
                            restored.restore(structuredClone(table.snapshot()));
                            table = restored;
                            break;
                        }
                        case "answer":
                        case "unknown": {
                            const result = kind === "answer" ? answeredResult(3) : { kind: "unknown" as const };
                            settle(table, `${incarnation}${id}`, result, "k", now);
                        }
                    }
                }
                t.true(granted.size <= 1);
            });
            fastCheck.assert(property, { seed: 7, numRuns: 400 });
        });
    });
});

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

function request(requestId: string, idempotencyKey = "k", requestDigest = "d"): ClaimRequest {
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

function answer(length: number): ClaimResult["result"] {
    const body = new Uint8Array(length);
    return { kind: "answered", answer: { status: 200, contentType: "application/json", body } };
}

describe("ClaimTable", () => {
    describe("claimBatch", () => {
        it("grants the first claim alone, and again to the same proposal", t => {
            const table = new ClaimTable(limits);
            t.deepEqual(kinds(claim(table, "a", [request("1"), request("2")])), ["granted", "claimed"]);
            t.deepEqual(kinds(claim(table, "a", [request("1")])), ["granted"]);
            t.deepEqual(claim(table, "b", [request("3")]), [
                { kind: "claimed", entry: "entry of a", incarnation: "a" },
            ]);
            t.deepEqual(kinds(claim(table, "b", [request("3", "k", "other")])), ["conflict"]);
        });

        it("refuses an incarnation that is over, and more claims than there is room for", t => {
            const table = new ClaimTable(limits);
            t.deepEqual(kinds(claim(table, "ended", [request("1")])), ["incarnationEnded"]);
            const many = ["1", "2", "3", "4", "5"].map(id => request(id, id));
            t.deepEqual(kinds(claim(table, "a", many)).slice(3), ["granted", "full"]);
        });
    });

    describe("claimResultBatch", () => {
        const cases = [
            { title: "an answer", results: [answer(10)], repeat: "answered" },
            { title: "an answer above the bound", results: [answer(11)], repeat: "answerNotKept" },
            { title: "no run", results: [{ kind: "notRun" as const }], repeat: "granted" },
            { title: "an unknown outcome", results: [{ kind: "unknown" as const }], repeat: "unknown" },
            { title: "a late answer", results: [{ kind: "unknown" as const }, answer(1)], repeat: "answered" },
            { title: "no run after an answer", results: [answer(1), { kind: "notRun" as const }], repeat: "answered" },
        ];
        for (const { title, results, repeat } of cases) {
            it(`tells a repeat about ${title}`, t => {
                const table = new ClaimTable(limits);
                claim(table, "a", [request("1")]);
                results.forEach(result => {
                    settle(table, "1", result);
                });
                t.deepEqual(kinds(claim(table, "b", [request("2")], 2)), [repeat]);
            });
        }

        it("ignores the result of a request that did not win", t => {
            const table = new ClaimTable(limits);
            claim(table, "a", [request("1")]);
            settle(table, "2", { kind: "notRun" });
            t.deepEqual(kinds(claim(table, "b", [request("2")], 2)), ["claimed"]);
        });

        it("drops the oldest bodies above the bound of all", t => {
            const table = new ClaimTable(limits);
            claim(table, "a", [request("1", "k"), request("2", "l")]);
            settle(table, "1", answer(10), "k");
            settle(table, "2", answer(10), "l");
            t.deepEqual(kinds(claim(table, "b", [request("3", "k"), request("4", "l")], 2)), [
                "answerNotKept",
                "answered",
            ]);
        });
    });

    describe("time", () => {
        it("turns a claim unknown by timeout or the end of its incarnation, then forgets it", t => {
            const table = new ClaimTable(limits);
            claim(table, "a", [request("1", "k")]);
            claim(table, "b", [request("2", "l")]);
            table.apply({ kind: "endIncarnation", incarnation: "a", at: 100 }, () => true);
            t.is(table.find(request("1", "k"))?.state.kind, "unknown");
            t.is(table.find(request("2", "l"))?.state.kind, "claimed");
            table.apply({ kind: "expireClaims", at: 500 }, () => true);
            t.is(table.find(request("2", "l"))?.state.kind, "unknown");
            table.apply({ kind: "expireClaims", at: 1_100 }, () => true);
            t.is(table.size, 1);
            table.apply({ kind: "expireClaims", at: 1_500 }, () => true);
            t.is(table.size, 0);
            t.is(table.nextExpiry(), undefined);
        });

        it("grants a key to one request only, whatever comes when, also through snapshots", t => {
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
                                kinds(claim(table, incarnation, [request(`${incarnation}${id}`)], now))[0] === "granted"
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
                            const result = kind === "answer" ? answer(3) : { kind: "unknown" as const };
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

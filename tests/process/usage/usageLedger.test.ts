import fastCheck from "fast-check";
import { createHash } from "node:crypto";
import { calculateCharge } from "../../../src/process/usage/charge.js";
import type { UsageRecord } from "../../../src/process/usage/usageCommand.js";
import { UsageLedger } from "../../../src/process/usage/usageLedger.js";
import { quantityNames } from "../../../src/process/usage/usageTotals.js";
import type { UsageTotals } from "../../../src/process/usage/usageTotals.js";
import { describe, it } from "../../describe.js";
import { createUsageRecord } from "./createUsageRecord.js";

const windowLength = 1_000;

function createLedger(incarnation = "entry-1/a"): UsageLedger {
    const ledger = new UsageLedger();
    ledger.apply({ kind: "setUsageWindow", length: windowLength, at: 0 });
    ledger.apply({ kind: "beginIncarnation", entry: "entry-1", incarnation, startedAt: 1, at: 1 });
    return ledger;
}

function recordUsage(ledger: UsageLedger, firstSequence: number, records: readonly UsageRecord[], at = 500): unknown {
    return ledger.apply({ kind: "recordUsage", incarnation: "entry-1/a", firstSequence, records, at });
}

describe("UsageLedger", () => {
    describe("recordUsage", () => {
        it("counts only the new records of an overlapping delivery and refuses a gap", t => {
            const ledger = createLedger();
            t.deepEqual(recordUsage(ledger, 1, [createUsageRecord(1), createUsageRecord(2)]), {
                kind: "recorded",
                through: 2,
            });
            t.deepEqual(recordUsage(ledger, 2, [createUsageRecord(2), createUsageRecord(3)]), {
                kind: "recorded",
                through: 3,
            });
            t.deepEqual(recordUsage(ledger, 1, [createUsageRecord(1)]), { kind: "recorded", through: 3 });
            t.deepEqual(recordUsage(ledger, 5, [createUsageRecord(1)]), { kind: "gap", expected: 4 });
            t.is(ledger.openWindows()[0]?.lines[0]?.totals.requests, 3n);
        });

        it("refuses records with invalid quantities", t => {
            for (const fields of [{ price: -1 }, { requests: 0.5 }, { cachedTokens: 11 }, { cut: 101 }]) {
                t.deepEqual(recordUsage(createLedger(), 1, [createUsageRecord(1, fields)]), {
                    kind: "refused",
                    reason: "malformedRecord",
                });
            }
        });

        it("never counts the records of an incarnation again after it was removed", t => {
            const ledger = createLedger();
            recordUsage(ledger, 1, [createUsageRecord(1)]);
            ledger.apply({ kind: "endIncarnation", incarnation: "entry-1/a", at: 10 });
            const later = 10 + 8 * 24 * 3_600_000;
            const beginCommand = { kind: "beginIncarnation", entry: "entry-1", at: later } as const;
            t.deepEqual(ledger.apply({ ...beginCommand, incarnation: "entry-1/b", startedAt: later }), {
                kind: "accepted",
            });
            t.deepEqual(recordUsage(ledger, 1, [createUsageRecord(1)]), { kind: "incarnationUnknown" });
            const outcome = ledger.apply({ ...beginCommand, incarnation: "entry-1/a", startedAt: 1 });
            t.deepEqual(outcome, { kind: "startTooOld", after: 1 });
        });

        it("counts each record exactly once despite lost responses, resends, ended incarnations and restored snapshots", t => {
            const step = fastCheck.oneof(
                fastCheck.record({ kind: fastCheck.constant("make" as const), price: fastCheck.nat(1_000) }),
                fastCheck.record({
                    kind: fastCheck.constant("send" as const),
                    from: fastCheck.nat(8),
                    lost: fastCheck.boolean(),
                }),
                fastCheck.record({ kind: fastCheck.constant("crash" as const) }),
                fastCheck.record({ kind: fastCheck.constant("seal" as const) }),
                fastCheck.record({ kind: fastCheck.constant("restore" as const) }),
            );
            const property = fastCheck.property(fastCheck.array(step, { maxLength: 60 }), steps => {
                const simulation = new DeliverySimulation();
                steps.forEach((next, index) => {
                    simulation.now = index * 300;
                    simulation.applyStep(next);
                });
                simulation.deliverAll();
                t.is(simulation.countedPrice(), simulation.expectedPrice);
                t.is(simulation.countedRequests(), simulation.expectedRequests);
            });
            fastCheck.assert(property, { seed: 6, numRuns: 400 });
        });
    });

    describe("sealWindow", () => {
        it("seals a report with consistent totals and digest, which later commands do not change", t => {
            const ledger = createLedger();
            recordUsage(ledger, 1, [
                createUsageRecord(5),
                createUsageRecord(6, { team: "\"\u2028x", outcome: "cut" }),
                createUsageRecord(7),
            ]);
            t.deepEqual(ledger.apply({ kind: "sealWindow", window: 0, at: 999 }), {
                kind: "refused",
                reason: "windowNotOver",
            });
            const first = ledger.apply({ kind: "sealWindow", window: 0, at: 1_000 });
            const sealed = ledger.nextUnreported();
            const text = Buffer.from(sealed?.bytes ?? []).toString("utf8");
            const parsed = JSON.parse(text) as { lines: Record<string, number>[]; totals: Record<string, number>; };
            t.is(sealed?.digest, createHash("sha256").update(text).digest("hex"));
            for (const name of quantityNames) {
                t.is(parsed.lines.reduce((sum, line) => sum + (line[name] ?? 0), 0), parsed.totals[name] ?? -1);
            }
            t.is(parsed.totals["requests"], 3);
            t.deepEqual(ledger.apply({ kind: "sealWindow", window: 0, at: 5_000 }), first);
            recordUsage(ledger, 4, [createUsageRecord(8)], 1_200);
            t.is(ledger.nextUnreported()?.digest, sealed?.digest);
        });

        it("counts a late record as a correction of the sealed window in which it finished", t => {
            const ledger = createLedger();
            ledger.apply({ kind: "sealWindow", window: 0, at: 1_000 });
            ledger.apply({ kind: "sealWindow", window: 1_000, at: 2_000 });
            recordUsage(
                ledger,
                1,
                [createUsageRecord(8), createUsageRecord(1_500), createUsageRecord(2_100), createUsageRecord(99_999)],
                2_500,
            );
            const lines = ledger.openWindows().flatMap(window =>
                window.lines.map(line => [window.start, line.correctionOf])
            );
            t.deepEqual(lines, [[2_000, 0], [2_000, 1_000], [2_000, undefined]]);
        });

        it("applies a new window length only after the windows in use", t => {
            const ledger = createLedger();
            recordUsage(ledger, 1, [createUsageRecord(400)]);
            ledger.apply({ kind: "setUsageWindow", length: 300, at: 500 });
            recordUsage(ledger, 2, [createUsageRecord(900), createUsageRecord(1_350)], 1_400);
            t.deepEqual(ledger.openWindows().map(window => [window.start, window.end]), [[0, 1_000], [1_300, 1_600]]);
            ledger.apply({ kind: "sealWindow", window: 0, at: 1_400 });
            t.is(ledger.oldestOpenWindow()?.end, 1_300);
        });
    });

    describe("usageReported", () => {
        it("is refused for a different digest, and idempotent otherwise", t => {
            const ledger = createLedger();
            ledger.apply({ kind: "sealWindow", window: 0, at: 1_000 });
            const digest = ledger.nextUnreported()?.digest ?? "";
            const reported = { kind: "usageReported", window: 0, at: 1_100 } as const;
            t.is(ledger.apply({ ...reported, digest: "0" }).kind, "refused");
            t.is(ledger.apply({ ...reported, digest }).kind, "accepted");
            t.is(ledger.apply({ ...reported, digest }).kind, "accepted");
            t.is(ledger.nextUnreported(), undefined);
        });
    });
});

describe("calculateCharge", () => {
    const price = {
        requestClass: "draft",
        perRequest: 5,
        perMillionPromptTokens: 300_000,
        perMillionCachedTokens: 100_000,
        perMillionOutputTokens: 1_500_000,
    };
    const consumption = { promptTokens: 10, cachedTokens: 4, outputTokens: 7 };
    const cases = [
        { outcome: "complete", charge: { price: 17, cut: 3 } },
        { outcome: "cut", charge: { price: 12, cut: 2 } },
        { outcome: "failed", charge: { price: 0, cut: 0 } },
    ] as const;
    for (const { outcome, charge } of cases) {
        it(`adds exactly and rounds down once for the outcome ${outcome}`, t => {
            t.deepEqual(calculateCharge({ ...consumption, outcome }, price, 200_000), charge);
        });
    }
});

type DeliveryStep =
    | { readonly kind: "make"; readonly price: number; }
    | { readonly kind: "send"; readonly from: number; readonly lost: boolean; }
    | { readonly kind: "crash" | "seal" | "restore"; };

/** Simulates an entry that crashes, restarts and sends its records to a usage ledger, whose responses may be lost. */
class DeliverySimulation {
    now = 0;
    expectedPrice = 0n;
    expectedRequests = 0n;
    private ledger = new UsageLedger();
    private readonly incarnations: { readonly name: string; records: UsageRecord[]; acknowledged: number; }[] = [];

    constructor() {
        this.ledger.apply({ kind: "setUsageWindow", length: windowLength, at: 0 });
        this.beginIncarnation();
    }

    applyStep(step: DeliveryStep): void {
        switch (step.kind) {
            case "make":
                this.expectedPrice += BigInt(step.price);
                this.expectedRequests += 1n;
                this.currentIncarnation().records.push(createUsageRecord(this.now, { price: step.price, cut: 0 }));
                break;
            case "send":
                this.incarnations.forEach(incarnation => {
                    this.send(incarnation, Math.max(0, incarnation.acknowledged - step.from), step.lost);
                });
                break;
            case "crash":
                this.ledger.apply({
                    kind: "endIncarnation",
                    incarnation: this.currentIncarnation().name,
                    at: this.now,
                });
                this.beginIncarnation();
                break;
            case "seal":
                this.ledger.apply({
                    kind: "sealWindow",
                    window: this.ledger.oldestOpenWindow()?.start ?? 0,
                    at: this.now,
                });
                break;
            case "restore": {
                const restored = new UsageLedger();
                restored.restore(structuredClone(this.ledger.snapshot()));
                this.ledger = restored;
                break;
            }
        }
    }

    deliverAll(): void {
        this.incarnations.forEach(incarnation => {
            this.send(incarnation, 0, false);
        });
    }

    countedPrice(): bigint {
        return this.sumOf("price");
    }

    countedRequests(): bigint {
        return this.sumOf("requests");
    }

    private sumOf(name: keyof UsageTotals): bigint {
        const open = this.ledger.openWindows().flatMap(window => window.lines.map(line => line.totals[name]));
        const sealed = this.ledger.sealedWindows().map(window => window.totals[name]);
        return [...open, ...sealed].reduce((left, right) => left + right, 0n);
    }

    private currentIncarnation(): { readonly name: string; records: UsageRecord[]; acknowledged: number; } {
        return this.incarnations[this.incarnations.length - 1] ?? { name: "", records: [], acknowledged: 0 };
    }

    private beginIncarnation(): void {
        const name = `entry-1/${this.incarnations.length}`;
        this.incarnations.push({ name, records: [], acknowledged: 0 });
        const beginCommand = { kind: "beginIncarnation", entry: "entry-1", incarnation: name } as const;
        this.ledger.apply({ ...beginCommand, startedAt: this.now, at: this.now });
    }

    private send(
        incarnation: { name: string; records: UsageRecord[]; acknowledged: number; },
        from: number,
        lost: boolean,
    ): void {
        const records = incarnation.records.slice(from);
        const command = { kind: "recordUsage", incarnation: incarnation.name, firstSequence: from + 1 } as const;
        const outcome = this.ledger.apply({ ...command, records, at: this.now });
        if (!lost && outcome.kind === "recorded") {
            incarnation.acknowledged = outcome.through;
        }
    }
}

import { ActLedger } from "../../../src/process/platform/actLedger.js";
import type { ActAnswer, EndpointState, PlatformAct } from "../../../src/process/platform/platformCommand.js";
import { describe, it } from "../../describe.js";

const start: PlatformAct = {
    kind: "startEndpoints",
    failureDomain: "hobart-a",
    pool: "drafting",
    engineKind: "h100",
    cheap: true,
    count: 2,
};
const stop: PlatformAct = { kind: "stopEndpoint", failureDomain: "hobart-a", endpoint: "e1" };
const granted: ActAnswer = {
    kind: "granted",
    granted: [{ endpoint: "e1", address: "127.0.0.1:1", failureDomain: "hobart-a", pool: "drafting", cheap: true }],
    unavailable: 1,
};

function intend(ledger: ActLedger, actId: string, act: PlatformAct, basedOn = ledger.revision): string {
    const outcome = ledger.apply({ kind: "intendActs", acts: [{ actId, act }], basedOn, at: 1 });
    return outcome.kind === "refused" ? outcome.reason : outcome.kind;
}

function answer(ledger: ActLedger, actId: string, given: ActAnswer): string {
    const outcome = ledger.apply({ kind: "answerAct", actId, answer: given, at: 2 });
    return outcome.kind === "refused" ? outcome.reason : outcome.kind;
}

function observe(ledger: ActLedger, state: EndpointState | "gone"): void {
    ledger.apply({ kind: "observeEndpoint", endpoint: "e1", state, at: 3 });
}

function ledgerWithEndpoint(): ActLedger {
    const ledger = new ActLedger();
    intend(ledger, "1-1", start);
    answer(ledger, "1-1", granted);
    return ledger;
}

describe("ActLedger", () => {
    describe("intendActs", () => {
        it("records an act once and refuses decisions based on an outdated fleet revision", t => {
            const ledger = new ActLedger();
            t.is(intend(ledger, "1-1", start, 0), "accepted");
            t.is(intend(ledger, "1-1", start, 0), "accepted");
            t.is(intend(ledger, "1-1", { ...start, count: 3 }), "actIdTaken");
            t.is(intend(ledger, "2-1", start, 0), "fleetChanged");
            t.is(ledger.openActs().length, 1);
        });

        it("releases an endpoint only once and only after draining", t => {
            const ledger = ledgerWithEndpoint();
            t.is(intend(ledger, "1-2", stop), "endpointNotDrained");
            observe(ledger, "draining");
            t.is(intend(ledger, "1-2", stop), "accepted");
            t.is(intend(ledger, "1-3", stop), "actOpen");
            answer(ledger, "1-2", { kind: "done" });
            t.deepEqual(ledger.fleet.list(), []);
            t.is(intend(ledger, "1-4", stop), "endpointUnknown");
        });
    });

    describe("answerAct", () => {
        it("adds a partial grant to the fleet once and refuses a different answer", t => {
            const ledger = ledgerWithEndpoint();
            t.is(answer(ledger, "1-1", granted), "accepted");
            t.is(answer(ledger, "1-1", { kind: "done" }), "answerDiffers");
            t.is(answer(ledger, "9-9", granted), "actUnknown");
            t.deepEqual(ledger.fleet.list().map(({ endpoint, state }) => [endpoint, state]), [["e1", "starting"]]);
        });
    });

    describe("observeEndpoint", () => {
        const cases: readonly [readonly EndpointState[], EndpointState][] = [
            [["live"], "live"],
            [["live", "leaving", "live"], "leaving"],
            [["draining", "live"], "draining"],
            [["draining", "leaving"], "leaving"],
            [["leaving", "draining"], "leaving"],
        ];
        for (const [states, expected] of cases) {
            it(`results in ${expected} after ${states.join(", ")}`, t => {
                const ledger = ledgerWithEndpoint();
                states.forEach(state => {
                    observe(ledger, state);
                });
                t.is(ledger.fleet.find("e1")?.state, expected);
                const restored = new ActLedger();
                restored.restore(structuredClone(ledger.snapshot()));
                t.deepEqual(restored.snapshot(), ledger.snapshot());
            });
        }
    });
});

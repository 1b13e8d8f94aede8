import { CrashLedger } from "../../../../src/process/hosted/control/crashLedger.js";
import type { FeatureHold } from "../../../../src/process/hosted/featureHold.js";
import { RandomSource } from "../../../../src/util/randomSource.js";
import { describe, it } from "../../../describe.js";

const service = "drafting";

/** Records a crash under calls of one team with the given features. */
function crash(
    ledger: CrashLedger,
    endpoint: string,
    at: number,
    calls: readonly (readonly string[])[],
    team = "a",
): void {
    ledger.recordCrash({ endpoint, service, age: 0, calls: calls.map(features => ({ team, features })) }, at);
}

function sound(ledger: CrashLedger, feature: string, sentAt: number, now: number): void {
    ledger.recordSound({ service, feature, age: now - sentAt }, now);
}

/** The causes found at a time, if entries were told of all suspects long before, and other calls are sound. */
function causes(ledger: CrashLedger, now: number, holds: readonly FeatureHold[] = []): readonly string[] {
    ledger.publishSuspects(-Infinity);
    sound(ledger, "", now, now);
    return ledger.verdicts(holds, now).map(({ feature }) => feature);
}

function holdOf(feature: string, crashedEndpoints: readonly string[]): FeatureHold {
    return {
        service,
        feature,
        teams: undefined,
        crashedEndpoints,
        firstCrashAt: 0,
        heldAt: 0,
        trials: 0,
        isTrialRunning: false,
        nextTrialAt: 0,
    };
}

describe("CrashLedger", () => {
    it("finds the feature that is in each crash and in no sound call", t => {
        const ledger = new CrashLedger(() => 10);
        for (const [index, at] of [0, 1_000, 2_000].entries()) {
            crash(ledger, `e${index}`, at, [["segment:first", "segment:bad"], ["segment:first", `segment:${index}`]]);
            sound(ledger, "segment:first", at + 100, at + 700);
        }
        t.deepEqual(causes(ledger, 2_800), ["segment:bad"]);
    });

    it("finds a cause that is the first segment", t => {
        const ledger = new CrashLedger(() => 10);
        for (const [index, at] of [0, 1_000, 2_000].entries()) {
            crash(ledger, `e${index}`, at, [["segment:bad", `segment:${index}`]]);
        }
        t.deepEqual(causes(ledger, 2_800), ["segment:bad"]);
    });

    it("finds two causes that come at the same time", t => {
        const ledger = new CrashLedger(() => 18);
        // Beside each other, both look like crashes by themselves, so that more than three are needed.
        for (const [index, at] of [0, 1_000, 2_000, 3_000].entries()) {
            crash(ledger, `a${index}`, at, [["segment:first", "segment:bad-1"]]);
            crash(ledger, `b${index}`, at + 500, [["segment:first", "segment:bad-2"]]);
            sound(ledger, "segment:first", at + 600, at + 900);
        }
        t.deepEqual([...causes(ledger, 4_000)].sort(), ["segment:bad-1", "segment:bad-2"]);
    });

    it("decides only after entries had time to clear a suspect", t => {
        const ledger = new CrashLedger(() => 10);
        for (const [index, at] of [0, 1_000, 2_000].entries()) {
            crash(ledger, `e${index}`, at, [["segment:bad"]]);
        }
        t.is(ledger.verdicts([], 5_000).length, 0);
        ledger.publishSuspects(5_000);
        sound(ledger, "", 5_000, 5_000);
        t.is(ledger.verdicts([], 5_500).length, 0);
        t.is(ledger.verdicts([], 6_000).length, 1);
    });

    it("finds no cause while no call of the service is sound", t => {
        const ledger = new CrashLedger(() => 10);
        for (const [index, at] of [0, 1_000, 2_000].entries()) {
            crash(ledger, `e${index}`, at, [["segment:all"]]);
        }
        ledger.publishSuspects(2_000);
        t.is(ledger.verdicts([], 5_000).length, 0);
    });

    it("finds a cause that comes seldom", t => {
        const ledger = new CrashLedger(() => 10);
        for (const [index, at] of [0, 150_000, 300_000].entries()) {
            crash(ledger, `e${index}`, at, [["segment:bad"]]);
        }
        t.deepEqual(causes(ledger, 300_000), ["segment:bad"]);
    });

    it("takes a companion for what it is until endpoints crash under it alone", t => {
        const ledger = new CrashLedger(() => 10);
        for (const [index, at] of [0, 1_000, 2_000].entries()) {
            crash(ledger, `e${index}`, at, [["segment:companion", "segment:bad"]]);
        }
        t.deepEqual(causes(ledger, 2_500), ["segment:bad"], "the more specific one first");
        const holds = [holdOf("segment:bad", ["e0", "e1", "e2"])];
        t.deepEqual(causes(ledger, 2_600, holds), []);
        crash(ledger, "e3", 3_000, [["segment:companion"]]);
        t.deepEqual(causes(ledger, 3_100, holds), ["segment:companion"]);
    });

    it("needs more crashes the more endpoints crash without the feature", t => {
        const crashesNeeded = (endpointCount: number): number | undefined => {
            const ledger = new CrashLedger(() => endpointCount);
            for (let second = 0; second < 12; second++) {
                crash(ledger, `e${second}`, second * 1_000, [["segment:bad"]]);
                crash(ledger, `f${second}`, second * 1_000 + 500, [[`segment:${second}`]]);
                if (causes(ledger, second * 1_000 + 900).length > 0) {
                    return second + 1;
                }
            }
            return undefined;
        };
        t.deepEqual([100, 20, 12, 5].map(crashesNeeded), [3, 4, 5, undefined]);
    });

    // Guards against features that are blamed for endpoints that end at the same time for another reason.
    it("takes crashes at about the same time for one incident", t => {
        const ledger = new CrashLedger(() => 10);
        for (let index = 0; index < 20; index++) {
            crash(ledger, `e${index}`, index * 10, [["segment:sound"]]);
        }
        t.deepEqual(causes(ledger, 10_000), []);
    });

    it("does not count what crashed before a sound call was sent, also if it is reported later", t => {
        const ledger = new CrashLedger(() => 10);
        crash(ledger, "e0", 0, [["segment:sound"]]);
        sound(ledger, "segment:sound", 5_000, 5_500);
        crash(ledger, "e1", 6_000, [["segment:sound"]]);
        ledger.recordCrash({ endpoint: "e2", service, age: 3_000, calls: [{ features: ["segment:sound"] }] }, 7_000);
        crash(ledger, "e3", 8_000, [["segment:sound"]]);
        t.deepEqual(causes(ledger, 12_000), []);
        t.is(ledger.publishSuspects(12_000)[0]?.incidents, 2);
    });

    it("counts a crash once that several entries report", t => {
        const ledger = new CrashLedger(() => 10);
        for (const at of [0, 300, 600]) {
            crash(ledger, "e0", at, [["segment:bad"]]);
        }
        t.is(ledger.publishSuspects(1_000)[0]?.incidents, 1);
    });

    it("names the teams whose calls ran at the crashed endpoints", t => {
        const ledger = new CrashLedger(() => 10);
        for (const [index, team] of ["a", "a", "b"].entries()) {
            crash(ledger, `e${index}`, index * 1_000, [["segment:bad"]], team);
        }
        t.deepEqual(causes(ledger, 4_000), ["segment:bad"]);
        t.deepEqual(ledger.verdicts([], 4_000)[0]?.teams, ["a", "b"]);
    });

    // Guards against a cause that is forgotten because of a flood of different calls.
    it("keeps the cause in bounded memory when many different features come", t => {
        const ledger = new CrashLedger(() => 200);
        const random = new RandomSource(7);
        for (let index = 0; index < 200; index++) {
            const others = Array.from(Array(60).keys(), () => [`segment:${random.integer(0, 2 ** 31)}`]);
            crash(ledger, `e${index}`, index * 1_000, index % 50 === 0 ? [...others, ["segment:bad"]] : others);
            ledger.prune(index * 1_000);
        }
        t.true(ledger.size <= 2_048, String(ledger.size));
        t.deepEqual(causes(ledger, 200_000), ["segment:bad"]);
    });
});

describe("CrashLedger with identical calls", () => {
    it("finds a call that crashed two endpoints, also at about the same time", t => {
        const ledger = new CrashLedger(() => 10);
        crash(ledger, "e0", 0, [["call:bad"], ["call:other-0"]]);
        t.deepEqual(causes(ledger, 50), []);
        crash(ledger, "e1", 100, [["call:bad"], ["call:other-1"]]);
        t.deepEqual(causes(ledger, 150), ["call:bad"]);
    });

    it("clears a call that was answered in between", t => {
        const ledger = new CrashLedger(() => 10);
        crash(ledger, "e0", 0, [["call:sound"]]);
        sound(ledger, "call:sound", 1_000, 1_050);
        crash(ledger, "e1", 2_000, [["call:sound"]]);
        t.deepEqual(causes(ledger, 3_000), []);
    });

    it("tells entries shared features even if many different calls ran at a crashed endpoint", t => {
        const ledger = new CrashLedger(() => 10);
        crash(ledger, "e0", 0, Array.from(Array(48).keys(), index => ["segment:bad", `call:${index}`]));
        t.is(ledger.publishSuspects(10)[0]?.feature, "segment:bad");
        t.is(ledger.publishSuspects(10).length, 17);
    });
});

import { nextRolloutStep } from "../../../src/process/platform/versionRollout.js";
import type { Rollout, RolloutMember } from "../../../src/process/platform/versionRollout.js";
import { describe, it } from "../../describe.js";

/** Simulates endpoints that execute the acts of a step immediately. */
class RolloutRun {
    lowestServing = Infinity;
    rolledBack = false;
    steps = 0;
    private members: readonly RolloutMember[];

    constructor(count: number, private readonly needed: number, private readonly broken: boolean) {
        this.members = [...Array(count).keys()].map(index => ({
            endpoint: `e${index}`,
            address: `127.0.0.1:${index + 1}`,
            version: "1",
            loadedVersion: "1",
            busy: false,
            failures: 0,
        }));
    }

    run(): readonly (string | undefined)[] {
        for (let step = nextRolloutStep(this.rollout()); !step.complete && this.steps < 50; this.steps += 1) {
            this.rolledBack = step.rollBack;
            const names = step.acts.flatMap(act => act.kind === "orderEngine" ? [act.endpoint] : []);
            this.lowestServing = Math.min(this.lowestServing, this.members.length - names.length);
            for (const act of step.acts) {
                this.members = this.members.map(member => {
                    if (!("endpoint" in act) || act.endpoint !== member.endpoint) {
                        return member;
                    }
                    if (act.kind === "loadWeights") {
                        return { ...member, loadedVersion: act.version };
                    }
                    const version = act.kind === "orderEngine" && act.order.kind === "loadModel"
                        ? act.order.version
                        : "";
                    return this.broken && version === "2"
                        ? { ...member, failures: member.failures + 1 }
                        : { ...member, version };
                });
            }
            step = nextRolloutStep(this.rollout());
        }
        return this.members.map(({ version }) => version);
    }

    private rollout(): Rollout {
        const { members, rolledBack, needed: neededEndpoints } = this;
        return { model: "m", version: "2", previousVersion: "1", rolledBack, members, neededEndpoints };
    }
}

describe("nextRolloutStep", () => {
    it("switches every endpoint and keeps the needed number serving", t => {
        const run = new RolloutRun(5, 3, false);
        t.deepEqual(new Set(run.run()), new Set(["2"]));
        t.is(run.lowestServing, 3);
    });

    it("waits while all endpoints are needed", t => {
        const run = new RolloutRun(3, 3, false);
        t.deepEqual(new Set(run.run()), new Set(["1"]));
        t.is(run.steps, 50);
    });

    it("rolls back after failures and keeps the previous version serving", t => {
        const run = new RolloutRun(5, 3, true);
        t.deepEqual(new Set(run.run()), new Set(["1"]));
        t.true(run.steps < 50);
    });
});

import { EventLog } from "../../../../src/logEvent/eventLog.js";
import { HostedState } from "../../../../src/process/hosted/control/hostedState.js";
import { QuarantineDuty } from "../../../../src/process/hosted/control/quarantineDuty.js";
import { describe, it } from "../../../describe.js";
import { VirtualClock } from "../../platform/virtualClock.js";
import { VolatileCommandLog } from "../../replicatedLog/volatileCommandLog.js";

const service = "drafting";
const feature = "segment:bad";

/** A leader's duty over a state that outlives it. */
class LeaderFixture {
    readonly clock = new VirtualClock();
    readonly state = new HostedState(() => undefined);
    readonly log = new VolatileCommandLog(this.state);
    duty = this.createDuty();
    private crashes = 0;

    /** Lets a leader that has seen no evidence take over. */
    changeLeader(): void {
        this.duty = this.createDuty();
    }

    async crash(team = "a", features: readonly string[] = [feature]): Promise<void> {
        const endpoint = `e${this.crashes++}`;
        this.duty.recordEvidence({ crashes: [{ endpoint, service, age: 0, calls: [{ team, features }] }], sound: [] });
        await this.settle();
    }

    async sound(age = 0): Promise<void> {
        this.duty.recordEvidence({ crashes: [], sound: [{ service, feature, age }] });
        await this.settle();
    }

    /** Lets time pass. */
    async wait(duration: number): Promise<void> {
        await this.clock.runUntil(this.clock.now() + duration);
    }

    /** Crashes endpoints until calls with the feature are held back. */
    async holdBack(): Promise<void> {
        for (let incident = 0; incident < 3; incident++) {
            await this.crash();
            this.duty.recordEvidence({ crashes: [], sound: [{ service, feature: "", age: 0 }] });
            await this.wait(1_000);
        }
        await this.crash();
    }

    async requestTrial(heldFeature = feature, features: readonly string[] = [heldFeature]): Promise<boolean> {
        return this.duty.requestTrial(service, heldFeature, features);
    }

    /** Waits until decisions in progress are stored. */
    private async settle(): Promise<void> {
        await this.wait(30);
    }

    private createDuty(): QuarantineDuty {
        return new QuarantineDuty({
            log: this.log,
            state: this.state,
            clock: this.clock,
            unixNow: () => this.clock.unixNow(),
            eventLog: new EventLog("test", "hidden"),
            endpointCount: () => 10,
            onSuspectsChange: () => undefined,
        });
    }
}

describe("QuarantineDuty", () => {
    it("holds back calls with the feature that causes crashes, for the team that sends them", async t => {
        const leader = new LeaderFixture();
        await leader.holdBack();
        t.deepEqual(leader.state.holds.map(hold => [hold.feature, hold.teams]), [[feature, ["a"]]]);
    });

    // Guards against a team that gets other teams' calls refused by sending its own.
    it("holds back other teams' calls only after a crash under one of them", async t => {
        const leader = new LeaderFixture();
        await leader.holdBack();
        await leader.crash("b", ["segment:other"]);
        t.deepEqual(leader.state.findHold(service, feature)?.teams, ["a"]);
        await leader.crash("b");
        t.is(leader.state.findHold(service, feature)?.teams, undefined);
    });

    // Guards against trials of each entry or leader that add up.
    it("lets few and spaced calls through, also after a change of leader", async t => {
        const leader = new LeaderFixture();
        await leader.holdBack();
        const trialTimes: number[] = [];
        for (let second = 0; second < 4_000; second++) {
            if (second % 100 === 0) {
                leader.changeLeader();
            }
            if (await leader.requestTrial()) {
                trialTimes.push(second);
                t.false(await leader.requestTrial(), "one at a time");
                await leader.crash();
            }
            await leader.wait(1_000);
        }
        t.deepEqual(trialTimes, [0, 60, 660]);
        t.is(leader.state.findHold(service, feature)?.nextTrialAt, undefined);
    });

    it("allows another trial if the outcome of one remains unknown", async t => {
        const leader = new LeaderFixture();
        await leader.holdBack();
        t.true(await leader.requestTrial());
        await leader.wait(4_000);
        t.false(await leader.requestTrial());
        await leader.wait(2_000);
        t.true(await leader.requestTrial());
    });

    // Guards against a sound feature that stays held back because its trial went to a call with another cause.
    it("prefers calls without other suspected features for a trial", async t => {
        const leader = new LeaderFixture();
        await leader.crash("a", [feature, "call:same"]);
        await leader.crash("a", [feature, "call:same"]);
        t.deepEqual(leader.state.holds.map(hold => hold.feature), ["call:same"]);
        t.false(await leader.requestTrial("call:same", [feature, "call:same"]));
        t.true(await leader.requestTrial("call:same", ["segment:other", "call:same"]));
    });

    it("lets a call with other suspected features through if no other one comes", async t => {
        const leader = new LeaderFixture();
        await leader.crash("a", [feature, "call:bad"]);
        await leader.crash("a", [feature, "call:bad"]);
        await leader.wait(4_000);
        t.false(await leader.requestTrial("call:bad", [feature, "call:bad"]));
        await leader.wait(2_000);
        t.true(await leader.requestTrial("call:bad", [feature, "call:bad"]));
    });

    it("releases the calls once one turned out sound", async t => {
        const leader = new LeaderFixture();
        await leader.holdBack();
        t.true(await leader.requestTrial());
        await leader.wait(600);
        await leader.sound(600);
        t.deepEqual(leader.state.holds, []);
        t.true(await leader.requestTrial(), "calls that are not held back need no trial");
    });

    it("does not release calls because of a sound one that was sent before the first crash", async t => {
        const leader = new LeaderFixture();
        await leader.wait(10_000);
        await leader.holdBack();
        await leader.sound(8_000);
        t.is(leader.state.holds.length, 1);
    });

    it("releases calls by an operator's decision", async t => {
        const leader = new LeaderFixture();
        await leader.holdBack();
        t.true(await leader.duty.release(service, feature));
        t.false(await leader.duty.release(service, feature));
        t.deepEqual(leader.state.holds, []);
    });

    it("keeps what is held back in snapshots", async t => {
        const leader = new LeaderFixture();
        await leader.holdBack();
        const copy = new HostedState(() => undefined);
        copy.restore(leader.state.snapshot());
        t.deepEqual(copy.holds, leader.state.holds);
        t.is(copy.holdsRevision, leader.state.holdsRevision);
    });
});

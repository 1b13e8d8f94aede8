import { MemberAdmission } from "../../../src/process/replicatedLog/memberAdmission.js";
import type { Member, Membership } from "../../../src/process/replicatedLog/membership.js";
import { describe, it } from "../../describe.js";

function member(memberId: string, role: Member["role"] = "voter"): Member {
    return { memberId, address: `10.0.0.${memberId}:7000`, operatorAddress: "", role };
}

function createJoinRequest(memberId: string): Parameters<MemberAdmission["accept"]>[0] {
    const { address, operatorAddress } = member(memberId);
    return { kind: "join", group: "main", from: memberId, to: "", address, operatorAddress };
}

const voters: Membership = { members: ["1", "2", "3"].map(id => member(id)) };
const withLearner: Membership = { members: [...voters.members, member("4", "learner")] };

describe("MemberAdmission", () => {
    it("refuses an address that the settings do not name, unless it admits unlisted members", t => {
        t.false(new MemberAdmission(["10.0.0.1:7000"]).accept(createJoinRequest("4"), voters));
        const unlisted = new MemberAdmission([], true);
        t.true(unlisted.accept(createJoinRequest("4"), voters));
        t.is(unlisted.nextChange(voters, "1", () => false)?.kind, "addLearner");
    });

    it("promotes a caught-up learner while all voters are responsive", t => {
        const change = new MemberAdmission([], true).nextChange(withLearner, "1", () => true, () => 0);
        t.deepEqual(change, { kind: "promote", memberId: "4" });
    });

    it("waits while a voter is briefly unresponsive, and later removes it in favour of the learner", t => {
        const unresponsiveFor = (milliseconds: number) => (memberId: string) => memberId === "3" ? milliseconds : 0;
        const admission = new MemberAdmission([], true);
        t.is(admission.nextChange(withLearner, "1", () => true, unresponsiveFor(1_000)), undefined);
        const change = admission.nextChange(withLearner, "1", () => true, unresponsiveFor(3_000));
        t.deepEqual(change, { kind: "remove", memberId: "3" });
    });

    it("never removes a voter without a caught-up learner to replace it", t => {
        const admission = new MemberAdmission([], true);
        t.is(admission.nextChange(voters, "1", () => true, () => 60_000), undefined);
        t.is(admission.nextChange(withLearner, "1", () => false, id => id === "3" ? 60_000 : 0), undefined);
    });

    it("does not promote an unresponsive learner, and eventually removes it", t => {
        const admission = new MemberAdmission([], true);
        const unresponsiveFor = (milliseconds: number) => (memberId: string) => memberId === "4" ? milliseconds : 0;
        t.is(admission.nextChange(withLearner, "1", () => true, unresponsiveFor(2_000)), undefined);
        const change = admission.nextChange(withLearner, "1", () => true, unresponsiveFor(11_000));
        t.deepEqual(change, { kind: "remove", memberId: "4" });
    });
});

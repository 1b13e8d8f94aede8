import { MemberAdmission } from "../../../src/process/replicatedLog/memberAdmission.js";
import type { Member, Membership } from "../../../src/process/replicatedLog/membership.js";
import { describe, it } from "../../describe.js";

function member(memberId: string, role: Member["role"] = "voter"): Member {
    return { memberId, address: `10.0.0.${memberId}:7000`, operatorAddress: "", role };
}

function joinOf(memberId: string): Parameters<MemberAdmission["accept"]>[0] {
    const { address, operatorAddress } = member(memberId);
    return { kind: "join", group: "main", from: memberId, to: "", address, operatorAddress };
}

const voters: Membership = { members: ["1", "2", "3"].map(id => member(id)) };
const withLearner: Membership = { members: [...voters.members, member("4", "learner")] };

describe("admission of members", () => {
    it("refuses an address that no settings name, unless it is open", t => {
        t.false(new MemberAdmission(["10.0.0.1:7000"]).accept(joinOf("4"), voters));
        const open = new MemberAdmission([], true);
        t.true(open.accept(joinOf("4"), voters));
        t.is(open.nextChange(voters, "1", () => false)?.kind, "addLearner");
    });

    it("promotes a learner that is ready while all voters are heard", t => {
        const change = new MemberAdmission([], true).nextChange(withLearner, "1", () => true, () => 0);
        t.deepEqual(change, { kind: "promote", memberId: "4" });
    });

    it("waits while a voter has just fallen silent, and retires it in favour of the learner later", t => {
        const silent = (silence: number) => (memberId: string) => memberId === "3" ? silence : 0;
        const admission = new MemberAdmission([], true);
        t.is(admission.nextChange(withLearner, "1", () => true, silent(1_000)), undefined);
        const change = admission.nextChange(withLearner, "1", () => true, silent(3_000));
        t.deepEqual(change, { kind: "remove", memberId: "3" });
    });

    it("never retires a voter without a learner that can take its place", t => {
        const admission = new MemberAdmission([], true);
        t.is(admission.nextChange(voters, "1", () => true, () => 60_000), undefined);
        t.is(admission.nextChange(withLearner, "1", () => false, id => id === "3" ? 60_000 : 0), undefined);
    });

    it("does not promote a learner that has fallen silent, and gives it up in the end", t => {
        const admission = new MemberAdmission([], true);
        const silent = (silence: number) => (memberId: string) => memberId === "4" ? silence : 0;
        t.is(admission.nextChange(withLearner, "1", () => true, silent(2_000)), undefined);
        const change = admission.nextChange(withLearner, "1", () => true, silent(11_000));
        t.deepEqual(change, { kind: "remove", memberId: "4" });
    });
});

import { z } from "zod";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Membership, MembershipChange } from "../../process/replicatedLog/membership.js";
import { findMember } from "../../process/replicatedLog/membership.js";
import type { ReplicaStatus } from "../../process/replicatedLog/replicatedLogOptions.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { addressSchema } from "../../settings/commonSettings.js";
import type { Result } from "../../util/result.js";
import { answerFailure, answerJson } from "../httpAnswer.js";
import { answerResult, readCall } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";

const memberIdSchema = z.string().min(1).max(64);
const addSchema = z.strictObject({
    memberId: memberIdSchema,
    address: addressSchema,
    operatorAddress: addressSchema,
});
const namedSchema = z.strictObject({ memberId: memberIdSchema });

/** The part of a replicated log that members are looked after with. */
export interface MemberAdministration {
    /** How this member stands. */
    status(): ReplicaStatus;
    /** Changes the members by one step; resolves with its position once it is committed. */
    changeMembership(change: MembershipChange): Promise<Result<number, Failure>>;
}

/** The operators' calls that concern the members of the log group. */
export class MemberCalls {
    /** The calls of this group. */
    readonly routes: readonly OperatorRoute[] = [
        { method: "POST", path: "/v1/members/add", answer: exchange => this.add(exchange) },
        { method: "POST", path: "/v1/members/promote", answer: exchange => this.changeNamed(exchange, "promote") },
        { method: "POST", path: "/v1/members/remove", answer: exchange => this.changeNamed(exchange, "remove") },
    ];

    constructor(private readonly members: MemberAdministration, private readonly eventLog: EventLog) {}

    private async add(exchange: OperatorExchange): Promise<void> {
        const member = await readCall(exchange.request, addSchema);
        if (member.err) {
            answerFailure(exchange.response, member.val);
            return;
        }
        await this.change(exchange, { kind: "addLearner", member: member.val });
    }

    private async changeNamed(exchange: OperatorExchange, kind: "promote" | "remove"): Promise<void> {
        const call = await readCall(exchange.request, namedSchema);
        if (call.err) {
            answerFailure(exchange.response, call.val);
            return;
        }
        await this.change(exchange, { kind, memberId: call.val.memberId });
    }

    private async change({ response, operator }: OperatorExchange, change: MembershipChange): Promise<void> {
        const { role, membership, commitPosition } = this.members.status();
        if (role === "leader" && isDone(membership, change)) {
            answerJson(response, 200, { position: commitPosition, repeated: true });
            return;
        }
        const changed = await this.members.changeMembership(change);
        if (changed.ok) {
            const memberId = change.kind === "addLearner" ? change.member.memberId : change.memberId;
            const fields = { change: change.kind, memberId, operator, position: changed.val };
            this.eventLog.write("membersChangeRequested", fields);
        }
        answerResult(response, changed.map(position => ({ position, repeated: false })));
    }
}

/** Whether a repeated change has nothing left to do. */
function isDone(membership: Membership, change: MembershipChange): boolean {
    if (change.kind === "addLearner") {
        const known = findMember(membership, change.member.memberId);
        return known?.address === change.member.address && known.operatorAddress === change.member.operatorAddress;
    }
    const known = findMember(membership, change.memberId);
    return change.kind === "remove" ? known === undefined : known?.role === "voter";
}

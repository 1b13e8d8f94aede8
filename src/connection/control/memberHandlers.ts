import { z } from "zod";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { Membership, MembershipChange } from "../../process/replicatedLog/membership.js";
import { findMember } from "../../process/replicatedLog/membership.js";
import type { ReplicaStatus } from "../../process/replicatedLog/replicatedLogOptions.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { addressSchema } from "../../settings/commonSettings.js";
import type { Result } from "../../util/result.js";
import { sendFailure, sendJson } from "../httpResponse.js";
import { readJsonBody, sendResult } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";

const memberIdSchema = z.string().min(1).max(64);
const addSchema = z.strictObject({
    memberId: memberIdSchema,
    address: addressSchema,
    operatorAddress: addressSchema,
});
const memberSchema = z.strictObject({ memberId: memberIdSchema });

/** The operations of a replicated log that manage its members. */
export interface MemberAdministration {
    /** Returns the status of this member. */
    status(): ReplicaStatus;
    /** Changes one member; resolves with the log position of the change once it is committed. */
    changeMembership(change: MembershipChange): Promise<Result<number, Failure>>;
}

/** Handlers of operator requests about the members of the log group. */
export class MemberHandlers {
    readonly routes: readonly OperatorRoute[] = [
        { method: "POST", path: "/v1/members/add", handle: exchange => this.add(exchange) },
        { method: "POST", path: "/v1/members/promote", handle: exchange => this.changeMember(exchange, "promote") },
        { method: "POST", path: "/v1/members/remove", handle: exchange => this.changeMember(exchange, "remove") },
    ];

    constructor(private readonly members: MemberAdministration, private readonly eventLog: EventLog) {}

    private async add(exchange: OperatorExchange): Promise<void> {
        const body = await readJsonBody(exchange.request, addSchema);
        if (body.err) {
            sendFailure(exchange.response, body.val);
            return;
        }
        await this.applyChange(exchange, { kind: "addLearner", member: body.val });
    }

    private async changeMember(exchange: OperatorExchange, kind: "promote" | "remove"): Promise<void> {
        const body = await readJsonBody(exchange.request, memberSchema);
        if (body.err) {
            sendFailure(exchange.response, body.val);
            return;
        }
        await this.applyChange(exchange, { kind, memberId: body.val.memberId });
    }

    private async applyChange({ response, operator }: OperatorExchange, change: MembershipChange): Promise<void> {
        const { role, membership, commitPosition } = this.members.status();
        if (role === "leader" && isAlreadyApplied(membership, change)) {
            sendJson(response, 200, { position: commitPosition, repeated: true });
            return;
        }
        const result = await this.members.changeMembership(change);
        if (result.ok) {
            const memberId = change.kind === "addLearner" ? change.member.memberId : change.memberId;
            const fields = { change: change.kind, memberId, operator, position: result.val };
            this.eventLog.write("membersChangeRequested", fields);
        }
        sendResult(response, result.map(position => ({ position, repeated: false })));
    }
}

/** Whether the membership already contains the result of a change. */
function isAlreadyApplied(membership: Membership, change: MembershipChange): boolean {
    if (change.kind === "addLearner") {
        const member = findMember(membership, change.member.memberId);
        return member?.address === change.member.address && member.operatorAddress === change.member.operatorAddress;
    }
    const member = findMember(membership, change.memberId);
    return change.kind === "remove" ? member === undefined : member?.role === "voter";
}

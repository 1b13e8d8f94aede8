import { z } from "zod";
import type { EventLog } from "../../logEvent/eventLog.js";
import type { EntryTable } from "../../process/control/entryTable.js";
import type { CommandLog, FencingToken } from "../../process/replicatedLog/commandLog.js";
import type { ReplicaStatus } from "../../process/replicatedLog/replicatedLogOptions.js";
import type { ControlCommand, ControlOutcome, ControlState } from "../../process/state/controlState.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { ControlSettings } from "../../settings/controlSettings.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import type { Result } from "../../util/result.js";
import { answerFailure } from "../httpAnswer.js";
import type { MemberAdministration } from "./memberCalls.js";
import { answerResult, checkCall, leaderToken } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";
import type { ControlStatus, EntryStanding, LogStanding, MemberStanding } from "./operatorMessages.js";

/** Longest wait of one call for a version to be in force everywhere, in milliseconds; the caller asks again. */
const maximumInForceWait: Milliseconds = 2_000;

/** How often a wait looks at permits that end, in milliseconds. */
const inForceInterval: Milliseconds = 50;

const inForceSchema = z.strictObject({ version: z.coerce.number().int().min(0) });

/** What the calls use. */
export interface StatusCallsOptions {
    readonly settings: ControlSettings;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly state: ControlState;
    readonly commandLog: CommandLog<ControlCommand, ControlOutcome>;
    readonly members: MemberAdministration;
    readonly entries: EntryTable;
}

/** The operators' calls that show how the cluster stands. */
export class StatusCalls {
    /** The calls of this group. */
    readonly routes: readonly OperatorRoute[] = [
        {
            method: "GET",
            path: "/v1/status",
            answer: exchange => {
                this.show(exchange);
            },
        },
        { method: "GET", path: "/v1/in-force", answer: exchange => this.waitInForce(exchange) },
    ];

    constructor(private readonly options: StatusCallsOptions) {}

    private show({ response }: OperatorExchange): void {
        const { commandLog, clock } = this.options;
        answerResult(response, leaderToken(commandLog, clock.now()).map(token => this.status(token, clock.now())));
    }

    private status(token: FencingToken, now: Milliseconds): ControlStatus {
        const { state, entries, settings, commandLog, members } = this.options;
        const section = state.configuration;
        entries.enterTerm(token.fencingNumber, now);
        return {
            control: settings.name,
            leaderAddress: commandLog.leaderAddress(),
            fencingNumber: token.fencingNumber,
            log: logStanding(members.status()),
            members: memberStandings(members.status()),
            version: section.current.version,
            manifest: section.newestManifest,
            entries: entryStandings(entries, now),
            entriesComplete: entries.unheard(state.usage.incarnations.running(), now).length === 0,
            pools: (section.current.manifest?.pools ?? []).map(({ name, kind, endpoints }) => ({
                name,
                kind,
                endpoints,
            })),
        };
    }

    /** Answers when no entry can still serve with an older version. */
    private async waitInForce({ response, query }: OperatorExchange): Promise<void> {
        const call = checkCall(Object.fromEntries(query), inForceSchema);
        if (call.err) {
            answerFailure(response, call.val);
            return;
        }
        const { clock } = this.options;
        const end = clock.now() + maximumInForceWait;
        let behind = this.behind(call.val.version, clock.now());
        while (behind.ok && behind.val.length > 0 && clock.now() < end && !response.destroyed) {
            await clock.sleep(inForceInterval);
            behind = this.behind(call.val.version, clock.now());
        }
        if (behind.ok && behind.val.length > 0) {
            const entries = behind.val.join(", ");
            answerFailure(response, failure("waitTimedOut", { version: call.val.version, entries }));
            return;
        }
        answerResult(response, behind.map(() => call.val));
    }

    /** The entries that may still serve with an older version, as far as the leader can know. */
    private behind(version: number, now: Milliseconds): Result<readonly string[], Failure> {
        const { commandLog, entries, state } = this.options;
        return leaderToken(commandLog, now).map(token => {
            entries.enterTerm(token.fencingNumber, now);
            const behind = entries.behind(version, now).map(record => record.entry);
            return [...behind, ...entries.unheard(state.usage.incarnations.running(), now)];
        });
    }
}

/** Every entry that may serve, as operators are shown it. */
export function entryStandings(entries: EntryTable, now: Milliseconds): readonly EntryStanding[] {
    return entries.all(now).map(record => ({
        entry: record.entry,
        incarnation: record.incarnation,
        failureDomain: record.failureDomain,
        callerAddress: record.callerAddress,
        metricsAddress: record.metricsAddress,
        version: record.version,
        connected: record.connected,
        permitLeft: Math.max(0, Math.round(record.permitEndsAt - now)),
        ...record.status,
    }));
}

function logStanding({ memberId, term, lastPosition, commitPosition, appliedPosition }: ReplicaStatus): LogStanding {
    return { memberId, term, lastPosition, commitPosition, appliedPosition };
}

function memberStandings({ membership, leaderId }: ReplicaStatus): readonly MemberStanding[] {
    return membership.members.map(({ memberId, role, address, operatorAddress }) => ({
        memberId,
        role,
        address,
        operatorAddress,
        leads: memberId === leaderId,
    }));
}

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
import { sendFailure } from "../httpResponse.js";
import type { MemberAdministration } from "./memberHandlers.js";
import { getFencingToken, sendResult, validateInput } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";
import type { ControlStatus, EntryOverview, LogOverview, MemberOverview } from "./operatorMessages.js";

/** Maximum time that a request waits for a version to be in force, in milliseconds; the client repeats the request. */
const maximumInForceWait: Milliseconds = 2_000;

/** Time between two checks during the wait, in milliseconds. */
const inForcePollInterval: Milliseconds = 50;

const inForceSchema = z.strictObject({ version: z.coerce.number().int().min(0) });

/** Dependencies of the handlers of operator requests about the cluster's state. */
export interface StatusHandlersOptions {
    readonly settings: ControlSettings;
    readonly clock: Clock;
    readonly eventLog: EventLog;
    readonly state: ControlState;
    readonly commandLog: CommandLog<ControlCommand, ControlOutcome>;
    readonly members: MemberAdministration;
    readonly entries: EntryTable;
}

/** Handlers of operator requests about the cluster's status. */
export class StatusHandlers {
    readonly routes: readonly OperatorRoute[] = [
        {
            method: "GET",
            path: "/v1/status",
            handle: exchange => {
                this.show(exchange);
            },
        },
        { method: "GET", path: "/v1/in-force", handle: exchange => this.waitInForce(exchange) },
    ];

    constructor(private readonly options: StatusHandlersOptions) {}

    private show({ response }: OperatorExchange): void {
        const { commandLog, clock } = this.options;
        sendResult(response, getFencingToken(commandLog, clock.now()).map(token => this.status(token, clock.now())));
    }

    private status(token: FencingToken, now: Milliseconds): ControlStatus {
        const { state, entries, settings, commandLog, members } = this.options;
        const configuration = state.configuration;
        entries.enterTerm(token.fencingNumber, now);
        return {
            control: settings.name,
            leaderAddress: commandLog.leaderAddress(),
            fencingNumber: token.fencingNumber,
            log: createLogOverview(members.status()),
            members: createMemberOverviews(members.status()),
            version: configuration.current.version,
            manifest: configuration.newestManifest,
            entries: createEntryOverviews(entries, now),
            entriesComplete: entries.unreportedEntries(state.usage.incarnations.running(), now).length === 0,
            pools: (configuration.current.manifest?.pools ?? []).map(({ name, kind, endpoints }) => ({
                name,
                kind,
                endpoints,
            })),
        };
    }

    /** Responds once no entry can serve an older version, or with `waitTimedOut`. */
    private async waitInForce({ response, query }: OperatorExchange): Promise<void> {
        const parameters = validateInput(Object.fromEntries(query), inForceSchema);
        if (parameters.err) {
            sendFailure(response, parameters.val);
            return;
        }
        const { clock } = this.options;
        const deadline = clock.now() + maximumInForceWait;
        let behind = this.entriesBehind(parameters.val.version, clock.now());
        while (behind.ok && behind.val.length > 0 && clock.now() < deadline && !response.destroyed) {
            await clock.sleep(inForcePollInterval);
            behind = this.entriesBehind(parameters.val.version, clock.now());
        }
        if (behind.ok && behind.val.length > 0) {
            const entries = behind.val.join(", ");
            sendFailure(response, failure("waitTimedOut", { version: parameters.val.version, entries }));
            return;
        }
        sendResult(response, behind.map(() => parameters.val));
    }

    /** Returns the names of the entries that may still serve an older version; fails if this process does not lead. */
    private entriesBehind(version: number, now: Milliseconds): Result<readonly string[], Failure> {
        const { commandLog, entries, state } = this.options;
        return getFencingToken(commandLog, now).map(token => {
            entries.enterTerm(token.fencingNumber, now);
            const behind = entries.entriesBehind(version, now).map(record => record.entry);
            return [...behind, ...entries.unreportedEntries(state.usage.incarnations.running(), now)];
        });
    }
}

/** Creates the overviews of all entries that may serve. */
export function createEntryOverviews(entries: EntryTable, now: Milliseconds): readonly EntryOverview[] {
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

function createLogOverview(
    { memberId, term, lastPosition, commitPosition, appliedPosition }: ReplicaStatus,
): LogOverview {
    return { memberId, term, lastPosition, commitPosition, appliedPosition };
}

function createMemberOverviews({ membership, leaderId }: ReplicaStatus): readonly MemberOverview[] {
    return membership.members.map(({ memberId, role, address, operatorAddress }) => ({
        memberId,
        role,
        address,
        operatorAddress,
        leads: memberId === leaderId,
    }));
}

import { isDeepStrictEqual } from "node:util";
import { match, P } from "ts-pattern";
import type { UnixMilliseconds } from "../../util/clock.js";
import { OrderedFleet } from "./orderedFleet.js";
import type { OrderedEndpoint } from "./orderedFleet.js";
import type { ActAnswer, AnswerAct, IntendActs, ObserveEndpoint, PlatformAct } from "./platformCommand.js";
import type { PlatformCommand, PlatformOutcome, PlatformRefusalReason } from "./platformCommand.js";

/** A recorded act; without an answer it is open and must be carried out under the same id. */
export interface RecordedAct {
    readonly actId: string;
    readonly act: PlatformAct;
    readonly intendedAt: UnixMilliseconds;
    readonly answer: ActAnswer | undefined;
    readonly answeredAt: UnixMilliseconds | undefined;
}

/** Maximum number of answered acts kept, for display to operators and to recognize late repeats. */
export const retainedAnsweredActs = 1_000;

/**
 * Section of the replicated state that holds the acts requested from the platform and engines, and the resulting fleet.
 *
 * An act is committed to the log as intended before it is sent, so that a later leader repeats exactly that act under
 * the same id.
 */
export class ActLedger {
    private readonly open = new Map<string, RecordedAct>();
    private readonly answered = new Map<string, RecordedAct>();
    private readonly orderedEndpoints = new OrderedFleet();
    private fleetRevision = 0;

    /** Number of changes to the fleet and the open acts so far; a decision names the revision it is based on. */
    get revision(): number {
        return this.fleetRevision;
    }

    get fleet(): Pick<OrderedFleet, "find" | "list"> {
        return this.orderedEndpoints;
    }

    /** Acts without an answer, oldest first. */
    openActs(): readonly RecordedAct[] {
        return [...this.open.values()];
    }

    /** The most recently answered acts, oldest first. */
    answeredActs(): readonly RecordedAct[] {
        return [...this.answered.values()];
    }

    /** The act with this id; undefined if it is unknown or no longer kept. */
    find(actId: string): RecordedAct | undefined {
        return this.open.get(actId) ?? this.answered.get(actId);
    }

    /** Applies the next command of the log. */
    apply(command: PlatformCommand): PlatformOutcome {
        return match(command)
            .with({ kind: "intendActs" }, intend => this.intend(intend))
            .with({ kind: "answerAct" }, answer => this.answer(answer))
            .with({ kind: "observeEndpoint" }, observe => this.observe(observe))
            .exhaustive();
    }

    /** The whole state as plain data. */
    snapshot(): ActLedgerSnapshot {
        return {
            open: this.openActs(),
            answered: this.answeredActs(),
            endpoints: this.orderedEndpoints.list(),
            revision: this.fleetRevision,
        };
    }

    /** Replaces the state with that of a snapshot. */
    restore(snapshot: ActLedgerSnapshot): void {
        this.open.clear();
        this.answered.clear();
        snapshot.open.forEach(act => this.open.set(act.actId, act));
        snapshot.answered.forEach(act => this.answered.set(act.actId, act));
        this.orderedEndpoints.restore(snapshot.endpoints);
        this.fleetRevision = snapshot.revision;
    }

    private intend(command: IntendActs): PlatformOutcome {
        const known = command.acts.map(({ actId }) => this.find(actId)).filter(act => act !== undefined);
        if (known.length > 0) {
            const same = command.acts.every(({ actId, act }) => isDeepStrictEqual(this.find(actId)?.act, act));
            return same ? accepted : refused("actIdTaken");
        }
        if (command.basedOn !== this.fleetRevision) {
            return refused("fleetChanged");
        }
        if (new Set(command.acts.map(({ actId }) => actId)).size < command.acts.length) {
            return refused("actIdTaken");
        }
        const reason = command.acts.map(({ act }) => this.refusalReasonOf(act)).find(found => found !== undefined);
        if (reason !== undefined) {
            return refused(reason);
        }
        for (const { actId, act } of command.acts) {
            this.open.set(actId, { actId, act, intendedAt: command.at, answer: undefined, answeredAt: undefined });
        }
        this.fleetRevision += 1;
        return accepted;
    }

    private refusalReasonOf(act: PlatformAct): PlatformRefusalReason | undefined {
        if (act.kind === "startEndpoints") {
            return undefined;
        }
        const sameKind = this.openActs().some(({ act: open }) =>
            open.kind === act.kind && "endpoint" in open && open.endpoint === act.endpoint
        );
        if (sameKind) {
            return "actOpen";
        }
        if (act.kind !== "stopEndpoint") {
            return undefined;
        }
        const endpoint = this.orderedEndpoints.find(act.endpoint);
        if (endpoint === undefined) {
            return "endpointUnknown";
        }
        return endpoint.state === "starting" || endpoint.state === "live" ? "endpointNotDrained" : undefined;
    }

    private answer(command: AnswerAct): PlatformOutcome {
        const earlier = this.answered.get(command.actId);
        if (earlier !== undefined) {
            return isDeepStrictEqual(earlier.answer, command.answer) ? accepted : refused("answerDiffers");
        }
        const act = this.open.get(command.actId);
        if (act === undefined) {
            return refused("actUnknown");
        }
        this.open.delete(command.actId);
        this.answered.set(command.actId, { ...act, answer: command.answer, answeredAt: command.at });
        this.applyEffect(act, command);
        this.evictOldestAnswered();
        this.fleetRevision += 1;
        return accepted;
    }

    private applyEffect(recorded: RecordedAct, command: AnswerAct): void {
        match([recorded.act, command.answer])
            .with([{ kind: "startEndpoints" }, { kind: "granted" }], ([, answer]) => {
                this.orderedEndpoints.add(answer.granted, recorded.actId, command.at);
            })
            .with([{ kind: "stopEndpoint" }, { kind: P.union("granted", "done") }], ([act]) => {
                this.orderedEndpoints.remove(act.endpoint);
            })
            .otherwise(() => undefined);
    }

    private observe(command: ObserveEndpoint): PlatformOutcome {
        if (this.orderedEndpoints.find(command.endpoint) === undefined) {
            return refused("endpointUnknown");
        }
        this.orderedEndpoints.observe(command);
        this.fleetRevision += 1;
        return accepted;
    }

    private evictOldestAnswered(): void {
        for (const actId of this.answered.keys()) {
            if (this.answered.size <= retainedAnsweredActs) {
                return;
            }
            this.answered.delete(actId);
        }
    }
}

/** State of an {@link ActLedger} as plain data. */
export interface ActLedgerSnapshot {
    readonly open: readonly RecordedAct[];
    readonly answered: readonly RecordedAct[];
    readonly endpoints: readonly OrderedEndpoint[];
    readonly revision: number;
}

const accepted: PlatformOutcome = { kind: "accepted" };

function refused(reason: PlatformRefusalReason): PlatformOutcome {
    return { kind: "refused", reason };
}

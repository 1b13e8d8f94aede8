import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { CommandLog } from "../replicatedLog/commandLog.js";
import type { ControlCommand, ControlOutcome } from "./controlState.js";

/** Name of a section of the control state. */
export type ControlSection = ControlCommand["section"];

/** The commands of a section. */
export type CommandOf<Section extends ControlSection> = Extract<ControlCommand, { section: Section; }>["command"];

/** What the commands of a section lead to. */
export type OutcomeOf<Section extends ControlSection> = Extract<ControlOutcome, { section: Section; }>["outcome"];

/** Proposes commands to the replicated log, with the outcome's type known from the section. */
export class ControlProposer {
    constructor(private readonly commandLog: CommandLog<ControlCommand, ControlOutcome>) {}

    /** Proposes a command; fails as `CommandLog.propose` does. */
    async propose<Section extends ControlSection>(
        section: Section,
        command: CommandOf<Section>,
        signal?: AbortSignal,
    ): Promise<Result<OutcomeOf<Section>, Failure>> {
        const committed = await this.commandLog.propose({ section, command } as ControlCommand, signal);
        if (committed.err) {
            return committed;
        }
        const { outcome } = committed.val;
        if (outcome.section === "rejected") {
            return Err(failure("commandRejected", { section, reason: outcome.reason }));
        }
        if (outcome.section !== section) {
            throw new Error(`A command of section ${section} gave an outcome of section ${outcome.section}.`);
        }
        return Ok(outcome.outcome as OutcomeOf<Section>);
    }
}

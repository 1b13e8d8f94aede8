import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { CommandLog } from "../replicatedLog/commandLog.js";
import type { ControlCommand, ControlOutcome } from "./controlState.js";

/** Name of a section of the control state. */
export type ControlSection = ControlCommand["section"];

/** Commands of a section. */
export type CommandOf<Section extends ControlSection> = Extract<ControlCommand, { section: Section; }>["command"];

/** Outcomes of a section's commands. */
export type OutcomeOf<Section extends ControlSection> = Extract<ControlOutcome, { section: Section; }>["outcome"];

/** Proposes commands to the replicated log and types each outcome by its section. */
export class ControlProposer {
    constructor(private readonly commandLog: CommandLog<ControlCommand, ControlOutcome>) {}

    /**
     * Proposes a command and resolves to its outcome once it is applied.
     *
     * Fails as `CommandLog.propose` does, and with `commandRejected` when the section threw on the command.
     */
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
            throw new Error(
                `A command of section ${section} returned an outcome of section ${outcome.section}.`,
            );
        }
        return Ok(outcome.outcome as OutcomeOf<Section>);
    }
}

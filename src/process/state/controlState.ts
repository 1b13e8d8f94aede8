import { Decoder, Encoder } from "cbor-x";
import { StateMachine } from "../replicatedLog/commandLog.js";
import type { ConfigurationCommand, ConfigurationOutcome } from "./configurationCommand.js";
import { ConfigurationSection } from "./configurationSection.js";
import type { ConfigurationSectionData } from "./configurationSection.js";

/** A command of the control processes' replicated log. */
export interface ControlCommand {
    readonly section: "configuration";
    readonly command: ConfigurationCommand;
}

/** What applying a command gave. */
export interface ControlOutcome {
    readonly section: "configuration";
    readonly outcome: ConfigurationOutcome;
}

interface ControlStateData {
    readonly configuration: ConfigurationSectionData;
}

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** The state that every control process derives from the log, made of one section for each subject. */
export class ControlState extends StateMachine<ControlCommand, ControlOutcome> {
    readonly configuration = new ConfigurationSection();

    /** @param onApplied Called after each applied command. */
    constructor(private readonly onApplied: () => void = () => undefined) {
        super();
    }

    override apply(command: ControlCommand): ControlOutcome {
        const outcome = { section: command.section, outcome: this.configuration.apply(command.command) };
        this.onApplied();
        return outcome;
    }

    override snapshot(): Uint8Array {
        const data: ControlStateData = { configuration: this.configuration.toData() };
        return encoder.encode(data);
    }

    override restore(snapshot: Uint8Array): void {
        const data = decoder.decode(snapshot) as ControlStateData;
        this.configuration.restore(data.configuration);
        this.onApplied();
    }
}

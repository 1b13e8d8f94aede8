import { Logger } from "tslog";
import { logEvents } from "./logEvent.js";
import type { LogEventDefinition, LogEventId, LogFields } from "./logEvent.js";

/** How log lines are written. */
export type LogStyle = "json" | "pretty" | "hidden";

/** Writes numbered events of the catalogue, one line each. */
export class EventLog {
    private readonly logger: Logger<object>;

    /**
     * @param processName Name of the process, part of every line.
     * @param style One JSON object a line, coloured text for a terminal, or nothing.
     */
    constructor(processName: string, style: LogStyle) {
        this.logger = new Logger({ name: processName, type: style });
    }

    /** Writes one event with its fields. */
    write<Id extends LogEventId>(id: Id, fields: LogFields<Id>): void {
        const definition: LogEventDefinition = logEvents[id];
        const line = { event: definition.number, id, ...fields };
        switch (definition.level) {
            case "debug":
                this.logger.debug(definition.text, line);
                break;
            case "info":
                this.logger.info(definition.text, line);
                break;
            case "warn":
                this.logger.warn(definition.text, line);
                break;
            case "error":
                this.logger.error(definition.text, line);
                break;
        }
    }
}

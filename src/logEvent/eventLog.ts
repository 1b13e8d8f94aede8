import { Logger } from "tslog";
import type { ILogObjMeta } from "tslog";
import { hideSecrets } from "./hideSecrets.js";
import { logEvents } from "./logEvent.js";
import type { LogEventDefinition, LogEventId, LogFields, LogLevel, LogValue } from "./logEvent.js";

/** How log lines are written. */
export type LogStyle = "json" | "pretty" | "hidden";

/** Layout of the beginning of a line for people. */
const prettyTemplate = "{{yyyy}}-{{mm}}-{{dd}} {{hh}}:{{MM}}:{{ss}}.{{ms}} {{logLevelName}} {{name}} ";

/** The library's numbers of the levels. */
const levelNumbers: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 };

/** What is handed to the logger: the stable members of a line, then the fields of the event. */
interface LogRecord extends Readonly<Record<string, LogValue>> {
    readonly event: number;
    readonly id: string;
    readonly text: string;
}

/** Writes numbered events of the catalogue, one line each; text that looks like a secret is hidden. */
export class EventLog {
    private readonly logger: Logger<LogRecord>;

    /**
     * @param processName Name of the process, part of every line.
     * @param style One JSON object a line, coloured text for a terminal, or nothing.
     * @param writeLine Where JSON lines go; standard output unless given.
     */
    constructor(
        processName: string,
        private readonly style: LogStyle,
        writeLine: (line: string) => void = line => process.stdout.write(`${line}\n`),
    ) {
        this.logger = new Logger({
            name: processName,
            type: style === "pretty" ? "pretty" : "hidden",
            stack: { capture: "off" },
            pretty: { template: prettyTemplate },
        });
        if (style === "json") {
            this.logger.attachTransport({
                format: jsonLine,
                write: (...[, line]) => {
                    writeLine(line);
                },
            });
        }
    }

    /** Writes one event with its fields. */
    write<Id extends LogEventId>(id: Id, fields: LogFields<Id>): void {
        if (this.style === "hidden") {
            return;
        }
        const { number, level, text }: LogEventDefinition = logEvents[id];
        const hidden = hideSecrets(fields);
        if (this.style === "pretty") {
            const listed = Object.entries(hidden).map(([name, value]) => `${name}=${String(value)}`);
            this.log(level, [`${number} ${text}`, ...listed].join(" "));
            return;
        }
        this.log(level, { event: number, id, text, ...hidden });
    }

    private log(level: LogLevel, entry: LogRecord | string): void {
        this.logger.log(levelNumbers[level], level.toUpperCase(), entry);
    }
}

/** The line of a record in the shape that docs/LOG-EVENTS.md promises. */
function jsonLine(record: LogRecord & ILogObjMeta): string {
    // The library names its own member with an underscore.
    const { ["_logMeta"]: meta, ...members } = record;
    const { date, logLevelName, name } = meta as MetaMembers;
    return JSON.stringify({ time: date, level: logLevelName.toLowerCase(), process: name, ...members });
}

/** The members of the library's description of a record that lines show. */
interface MetaMembers {
    readonly date: Date;
    readonly logLevelName: string;
    readonly name: string;
}

import { Logger } from "tslog";
import type { ILogObjMeta } from "tslog";
import { logEvents } from "./logEvent.js";
import type { LogEventDefinition, LogEventId, LogFields, LogLevel, LogValue } from "./logEvent.js";
import { redactSecrets } from "./redactSecrets.js";

/** Log format: JSON lines, text for a terminal, or no output. */
export type LogStyle = "json" | "pretty" | "hidden";

/** Prefix of a line in the `pretty` style, in the template syntax of tslog. */
const prettyTemplate = "{{yyyy}}-{{mm}}-{{dd}} {{hh}}:{{MM}}:{{ss}}.{{ms}} {{logLevelName}} {{name}} ";

/** Numeric level ids of tslog. */
const tslogLevelIds: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 };

/** Record that is passed to the logger: the members that every line has, then the fields of the event. */
interface LogRecord extends Readonly<Record<string, LogValue>> {
    readonly event: number;
    readonly id: string;
    readonly text: string;
}

/** Logs the events defined in `logEvents`, one line each; text that looks like a secret is redacted. */
export class EventLog {
    private readonly logger: Logger<LogRecord>;

    /**
     * @param processName Name of the process; written in every line.
     * @param style `json` for one JSON object per line, `pretty` for coloured text, `hidden` for no output.
     * @param writeLine Receives each JSON line without its line break; writes to standard output by default.
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
                format: formatJsonLine,
                write: (...[, line]) => {
                    writeLine(line);
                },
            });
        }
    }

    /** Logs one event with its fields. */
    write<Id extends LogEventId>(id: Id, fields: LogFields<Id>): void {
        if (this.style === "hidden") {
            return;
        }
        const { number, level, text }: LogEventDefinition = logEvents[id];
        const redactedFields = redactSecrets(fields);
        if (this.style === "pretty") {
            const formattedFields = Object.entries(redactedFields).map(([name, value]) => `${name}=${String(value)}`);
            this.log(level, [`${number} ${text}`, ...formattedFields].join(" "));
            return;
        }
        this.log(level, { event: number, id, text, ...redactedFields });
    }

    private log(level: LogLevel, record: LogRecord | string): void {
        this.logger.log(tslogLevelIds[level], level.toUpperCase(), record);
    }
}

/** Formats a record as a JSON line, as documented in docs/LOG-EVENTS.md. */
function formatJsonLine(record: LogRecord & ILogObjMeta): string {
    // tslog adds its metadata as a member whose name starts with an underscore.
    const { ["_logMeta"]: meta, ...members } = record;
    const { date, logLevelName, name } = meta as TslogMeta;
    return JSON.stringify({ time: date, level: logLevelName.toLowerCase(), process: name, ...members });
}

/** The part of the metadata of tslog that is written to lines. */
interface TslogMeta {
    readonly date: Date;
    readonly logLevelName: string;
    readonly name: string;
}

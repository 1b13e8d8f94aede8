import { EventLog } from "../../src/logEvent/eventLog.js";
import type { LogEventId, LogFields } from "../../src/logEvent/logEvent.js";

/** Keeps the codes of refused peers instead of writing log lines. */
export class RecordingEventLog extends EventLog {
    readonly codes: string[] = [];

    constructor() {
        super("test", "hidden");
    }

    override write<Id extends LogEventId>(id: Id, fields: LogFields<Id>): void {
        if (id === "peerRefused" && "code" in fields) {
            this.codes.push(String(fields.code));
        }
    }
}

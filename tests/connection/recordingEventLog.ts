import { EventLog } from "../../src/logEvent/eventLog.js";
import type { LogEventId, LogFields } from "../../src/logEvent/logEvent.js";

/** Records the result codes of `peerRefused` events instead of writing log lines. */
export class RecordingEventLog extends EventLog {
    readonly refusalCodes: string[] = [];

    constructor() {
        super("test", "hidden");
    }

    override write<Id extends LogEventId>(id: Id, fields: LogFields<Id>): void {
        if (id === "peerRefused" && "code" in fields) {
            this.refusalCodes.push(String(fields.code));
        }
    }
}

import type { EventLog } from "../../src/logEvent/eventLog.js";
import type { LogEventId, LogFields } from "../../src/logEvent/logEvent.js";

/** Records the fields of the events of one kind that are written from now on. */
export function recordEvents<Id extends LogEventId>(eventLog: EventLog, id: Id): readonly LogFields<Id>[] {
    const recorded: LogFields<Id>[] = [];
    const isWanted = (writtenId: string): boolean => writtenId === id;
    const write = eventLog.write.bind(eventLog);
    eventLog.write = (writtenId, fields) => {
        if (isWanted(writtenId)) {
            recorded.push(fields);
        }
        write(writtenId, fields);
    };
    return recorded;
}

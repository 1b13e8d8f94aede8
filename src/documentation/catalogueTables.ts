import { logEvents } from "../logEvent/logEvent.js";
import type { LogEventDefinition } from "../logEvent/logEvent.js";
import { resultCodes } from "../resultCode/resultCode.js";
import type { ResultCodeDefinition } from "../resultCode/resultCode.js";
import { markdownTable } from "./markdownTable.js";

/** Markdown table of all result codes, sorted by number. */
export function resultCodeTable(): string {
    const codes: readonly (readonly [string, ResultCodeDefinition])[] = Object.entries(resultCodes);
    const sortedCodes = [...codes].sort(([, left], [, right]) => left.number - right.number);
    const rows = sortedCodes.map(([id, { number, httpStatus, outcome, text, advice }]) => [
        `GH${number}`,
        `\`${id}\``,
        String(httpStatus),
        outcome ?? "",
        text,
        advice,
    ]);
    return markdownTable(["number", "id", "HTTP", "outcome", "text", "what to do"], rows);
}

/** Markdown table of all log events, sorted by number. */
export function logEventTable(): string {
    const events: readonly (readonly [string, LogEventDefinition])[] = Object.entries(logEvents);
    const sortedEvents = [...events].sort(([, left], [, right]) => left.number - right.number);
    const rows = sortedEvents.map(([id, { number, level, text, fields }]) => [
        String(number),
        `\`${id}\``,
        level,
        text,
        fields.map(field => `\`${field}\``).join(", "),
    ]);
    return markdownTable(["number", "id", "level", "text", "fields"], rows);
}

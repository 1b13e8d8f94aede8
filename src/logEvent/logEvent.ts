import { controlEvents } from "./controlEvents.js";
import { entryEvents } from "./entryEvents.js";
import { hostedEvents } from "./hostedEvents.js";
import { platformEvents } from "./platformEvents.js";
import { processEvents } from "./processEvents.js";

/** Severity of a log event. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** The constant properties of one log event. */
export interface LogEventDefinition {
    /** Number written in each line; unique and never reused. */
    readonly number: number;
    readonly level: LogLevel;
    /** One sentence that describes what happened. */
    readonly text: string;
    /** Names of the fields of the event. */
    readonly fields: readonly string[];
}

/** Every log event, by identifier. */
export const logEvents = {
    ...processEvents,
    ...controlEvents,
    ...entryEvents,
    ...platformEvents,
    ...hostedEvents,
} as const satisfies Readonly<Record<string, LogEventDefinition>>;

/** Identifier of a log event. */
export type LogEventId = keyof typeof logEvents;

/** Value of a field in a log line. */
export type LogValue = string | number | boolean | undefined | readonly string[];

/** The fields of an event; the compiler checks their names. */
export type LogFields<Id extends LogEventId> = Readonly<Record<(typeof logEvents)[Id]["fields"][number], LogValue>>;

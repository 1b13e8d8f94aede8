import { controlCodes } from "./controlCodes.js";
import { entryCodes } from "./entryCodes.js";
import { hostedCodes } from "./hostedCodes.js";
import { manifestCodes } from "./manifestCodes.js";
import { operatorCodes } from "./operatorCodes.js";
import { platformCodes } from "./platformCodes.js";
import { settingsCodes } from "./settingsCodes.js";

/**
 * What is known about the execution of a request that was not answered in full.
 *
 * - `notRun`: no part of it was executed, and none will be.
 * - `run`: it was executed, but the answer was lost or cut.
 * - `unknown`: it may have been executed.
 */
export type Outcome = "notRun" | "run" | "unknown";

/** The constant properties of one result code. */
export interface ResultCodeDefinition {
    /** The number shown to users, unique and never reused. */
    readonly number: number;
    /** The HTTP status that carries the code. */
    readonly httpStatus: number;
    /** What a caller may assume about the execution; absent where no request was involved. */
    readonly outcome?: Outcome;
    /** One sentence that says what happened; `{name}` marks the place of a datum. */
    readonly text: string;
    /** One sentence that says what the reader can do; it may hold places as well. */
    readonly advice: string;
}

/** Every result code, by identifier. */
export const resultCodes = {
    ...settingsCodes,
    ...manifestCodes,
    ...controlCodes,
    ...entryCodes,
    ...platformCodes,
    ...operatorCodes,
    ...hostedCodes,
} as const satisfies Readonly<Record<string, ResultCodeDefinition>>;

/** Identifier of a result code. */
export type ResultCode = keyof typeof resultCodes;

/** Values that fill the places in a result code's text. */
export type FailureData = Readonly<Record<string, string | number | boolean>>;

/** A numbered error: the code and the values that fill its text. */
export interface Failure {
    readonly code: ResultCode;
    readonly data: FailureData;
}

/** Makes a {@link Failure}. */
export function failure(code: ResultCode, data: FailureData = {}): Failure {
    return { code, data };
}

/** The definition that belongs to a code. */
export function definitionOf(code: ResultCode): ResultCodeDefinition {
    return resultCodes[code];
}

/** One line for people: number, text with its data filled in, and advice. */
export function describeFailure(reported: Failure): string {
    const definition = definitionOf(reported.code);
    return `GH${definition.number} ${fill(definition.text, reported.data)} ${fill(definition.advice, reported.data)}`;
}

function fill(sentence: string, data: FailureData): string {
    return sentence.replace(/\{(\w+)\}/g, (place, name: string) => String(data[name] ?? place));
}

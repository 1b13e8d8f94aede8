import { controlCodes } from "./controlCodes.js";
import { entryCodes } from "./entryCodes.js";
import { hostedCodes } from "./hostedCodes.js";
import { manifestCodes } from "./manifestCodes.js";
import { operatorCodes } from "./operatorCodes.js";
import { platformCodes } from "./platformCodes.js";
import { settingsCodes } from "./settingsCodes.js";

/**
 * What is known about the execution of a request that did not receive a complete response.
 *
 * - `notRun`: no part of it was executed, and none will be.
 * - `run`: it was executed, but the response was lost or incomplete.
 * - `unknown`: it may have been executed.
 */
export type Outcome = "notRun" | "run" | "unknown";

/** The constant properties of one result code. */
export interface ResultCodeDefinition {
    /** Number shown to users; unique and never reused. */
    readonly number: number;
    /** HTTP status of responses with this code. */
    readonly httpStatus: number;
    /** What a caller may assume about the execution; absent if no request was involved. */
    readonly outcome?: Outcome;
    /** One sentence that describes what happened; `{name}` is a placeholder for a value. */
    readonly text: string;
    /** One sentence that tells the reader what to do; it may contain placeholders too. */
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

/** Values of the placeholders in a result code's text and advice. */
export type FailureData = Readonly<Record<string, string | number | boolean>>;

/** An error with a result code and the values of its placeholders. */
export interface Failure {
    readonly code: ResultCode;
    readonly data: FailureData;
}

/** Creates a {@link Failure}. */
export function failure(code: ResultCode, data: FailureData = {}): Failure {
    return { code, data };
}

/** Returns the definition of a result code. */
export function definitionOf(code: ResultCode): ResultCodeDefinition {
    return resultCodes[code];
}

/** Formats a failure as one readable line: number, text and advice with their placeholders filled. */
export function formatFailure(reported: Failure): string {
    const definition = definitionOf(reported.code);
    return `GH${definition.number} ${fillPlaceholders(definition.text, reported.data)} ${
        fillPlaceholders(definition.advice, reported.data)
    }`;
}

function fillPlaceholders(template: string, data: FailureData): string {
    return template.replace(/\{(\w+)\}/g, (placeholder, name: string) => String(data[name] ?? placeholder));
}

import type { FailureBody } from "../connection/httpResponse.js";
import { definitionOf, formatFailure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";

/** An error in the form that the command line prints. */
export interface CommandError {
    /** Number of the result code, for example `GH1111`. */
    readonly code: string;
    /** A single line with the code, the cause and the advice. */
    readonly message: string;
}

/** Converts a failure to the printed form. */
export function toCommandError(failure: Failure): CommandError {
    return { code: `GH${definitionOf(failure.code).number}`, message: toSingleLine(formatFailure(failure)) };
}

/** Converts an error response of a control process: its message, then each of the listed faults. */
export function commandErrorsOfResponse({ error }: FailureBody): readonly CommandError[] {
    const faults = error.faults ?? [];
    const messages = [error.message, ...faults.filter(fault => fault !== error.message)];
    return messages.map(message => ({ code: message.split(" ", 1)[0] ?? error.code, message: toSingleLine(message) }));
}

function toSingleLine(text: string): string {
    return text.replace(/\s*[\r\n]+\s*/g, "; ");
}

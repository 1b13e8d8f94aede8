import type { FailureBody } from "../connection/httpAnswer.js";
import { definitionOf, describeFailure } from "../resultCode/resultCode.js";
import type { Failure } from "../resultCode/resultCode.js";

/** An error as the command line shows it. */
export interface CommandError {
    /** Number of the result code, as `GH1111`. */
    readonly code: string;
    /** One line: the code, what happened, and what to do. */
    readonly message: string;
}

/** The error that shows a failure. */
export function commandError(reported: Failure): CommandError {
    return { code: `GH${definitionOf(reported.code).number}`, message: oneLine(describeFailure(reported)) };
}

/** The errors that show a refusal by a control process: its summary, then each fault. */
export function answeredErrors({ error }: FailureBody): readonly CommandError[] {
    const faults = error.faults ?? [];
    const messages = [error.message, ...faults.filter(fault => fault !== error.message)];
    return messages.map(message => ({ code: message.split(" ", 1)[0] ?? error.code, message: oneLine(message) }));
}

function oneLine(text: string): string {
    return text.replace(/\s*[\r\n]+\s*/g, "; ");
}

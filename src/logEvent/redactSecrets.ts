import { keyPrefix } from "../util/generateKey.js";
import type { LogValue } from "./logEvent.js";

/** Replacement for a redacted secret. */
const redactedSecret = `${keyPrefix}[hidden]`;

/** Matches keys by their prefix, and the token after "Bearer". */
const secretPattern = new RegExp(`${keyPrefix}[\\w-]+|(?<=\\bBearer\\s+)\\S+`, "gi");

/** Returns the fields with every key or bearer token redacted, and without the fields whose value is undefined. */
export function redactSecrets(fields: Readonly<Record<string, LogValue>>): Readonly<Record<string, LogValue>> {
    const definedFields = Object.entries(fields).filter(([, value]) => value !== undefined);
    return Object.fromEntries(definedFields.map(([name, value]) => [name, redactValue(value)]));
}

function redactValue(value: LogValue): LogValue {
    if (typeof value === "string") {
        return redactText(value);
    }
    return value instanceof Array ? value.map(redactText) : value;
}

function redactText(text: string): string {
    return text.replace(secretPattern, redactedSecret);
}

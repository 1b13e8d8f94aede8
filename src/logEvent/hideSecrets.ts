import { keyPrefix } from "../util/createKey.js";
import type { LogValue } from "./logEvent.js";

/** What stands in a line in place of a secret. */
const hiddenSecret = `${keyPrefix}[hidden]`;

/** Keys by their beginning, and whatever follows "Bearer". */
const secretPattern = new RegExp(`${keyPrefix}[\\w-]+|(?<=\\bBearer\\s+)\\S+`, "gi");

/** The fields with every text that looks like a key or token replaced, and without those that have no value. */
export function hideSecrets(fields: Readonly<Record<string, LogValue>>): Readonly<Record<string, LogValue>> {
    const entries = Object.entries(fields).filter(([, value]) => value !== undefined);
    return Object.fromEntries(entries.map(([name, value]) => [name, hideInValue(value)]));
}

function hideInValue(value: LogValue): LogValue {
    if (typeof value === "string") {
        return hideInText(value);
    }
    return value instanceof Array ? value.map(hideInText) : value;
}

function hideInText(text: string): string {
    return text.replace(secretPattern, hiddenSecret);
}

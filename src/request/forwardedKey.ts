import type { IncomingHttpHeaders } from "node:http";
import { keyPrefix } from "../util/createKey.js";
import { keyDigest } from "../util/keyDigest.js";

/** Text of a key as it is issued, wherever it stands. */
const keyPattern = new RegExp(`${keyPrefix}[A-Za-z0-9_-]{43}`, "g");

/** Escape of a character in a URL or form. */
const percentEscape = /%[0-9a-fA-F]{2}/g;

/** Escape of a character in JSON. */
const jsonEscape = /\\u[0-9a-fA-F]{4}/g;

/** Where a key was found. */
export type KeyPlace = "path" | "headers" | "body";

/** The parts of a request that go on to an endpoint. */
export interface ForwardedParts {
    /** Path and query. */
    readonly target: string;
    readonly headers: IncomingHttpHeaders;
    /** Names of the headers that go on. */
    readonly forwardedHeaders: readonly string[];
    readonly body: Buffer;
}

/**
 * Finds a key in what would go on to an endpoint: the caller's own, or any that is in force.
 *
 * Percent escapes are undone in the path, and in the body those of forms and of JSON strings.
 *
 * @param ownKey Text of the key that came with the request.
 * @param isKnown Whether a digest belongs to a key in force.
 */
export function findForwardedKey(
    parts: ForwardedParts,
    ownKey: string | undefined,
    isKnown: (digest: string) => boolean,
): KeyPlace | undefined {
    const holdsKey = (text: string): boolean =>
        (ownKey !== undefined && text.includes(ownKey))
        || (text.match(keyPattern) ?? []).some(found => isKnown(keyDigest(found)));
    if (formsOf(parts.target).some(holdsKey)) {
        return "path";
    }
    const headers = parts.forwardedHeaders.map(name => parts.headers[name]).flat();
    if (headers.some(value => value !== undefined && formsOf(value).some(holdsKey))) {
        return "headers";
    }
    return bodyTexts(parts.body, ownKey).some(holdsKey) ? "body" : undefined;
}

/** Texts of a body that can hold a key; none where it has neither a key's beginning nor escapes. */
function bodyTexts(body: Buffer, ownKey: string | undefined): readonly string[] {
    const plain = body.includes(keyPrefix) || (ownKey !== undefined && body.includes(ownKey));
    const escaped = body.includes("\\u") || body.includes("%");
    return plain || escaped ? formsOf(body.toString("latin1")) : [];
}

/** A text as it stands and with its escapes undone, twice for those who escape twice. */
function formsOf(text: string): readonly string[] {
    const once = unescapeText(text);
    const twice = unescapeText(once);
    return [...new Set([text, once, twice])];
}

function unescapeText(text: string): string {
    return text.replace(percentEscape, decodeEscape).replace(jsonEscape, decodeEscape);
}

/** Both kinds of escapes end with the digits. */
function decodeEscape(escape: string): string {
    return String.fromCharCode(parseInt(escape.replace(/^\\u|^%/, ""), 16));
}

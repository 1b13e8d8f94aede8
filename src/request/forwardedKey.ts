import type { IncomingHttpHeaders } from "node:http";
import { keyPrefix } from "../util/generateKey.js";
import { keyDigest } from "../util/keyDigest.js";

/** An issued key at any position in a text: the prefix and 32 random bytes, which are 43 base64url characters. */
const keyPattern = new RegExp(`${keyPrefix}[A-Za-z0-9_-]{43}`, "g");

/** Percent-encoded character in a URL or form. */
const percentEscape = /%[0-9a-fA-F]{2}/g;

/** Unicode escape in JSON. */
const jsonEscape = /\\u[0-9a-fA-F]{4}/g;

/** Part of a request in which a key was found. */
export type KeyLocation = "path" | "headers" | "body";

/** The parts of a request that are forwarded to an endpoint. */
export interface ForwardedParts {
    /** Path and query. */
    readonly target: string;
    readonly headers: IncomingHttpHeaders;
    /** Names of the headers that are forwarded. */
    readonly forwardedHeaders: readonly string[];
    readonly body: Buffer;
}

/**
 * Finds an API key, the caller's own or any valid one, in the parts of a request that would be forwarded.
 *
 * Each part is searched as received and with percent encoding and JSON Unicode escapes decoded once and twice.
 *
 * @param ownKey The key that was sent with the request, if any.
 * @param isValidDigest Whether a digest is that of a valid key.
 * @returns The first part that contains a key; undefined if none does.
 */
export function findForwardedKey(
    parts: ForwardedParts,
    ownKey: string | undefined,
    isValidDigest: (digest: string) => boolean,
): KeyLocation | undefined {
    const containsKey = (text: string): boolean =>
        (ownKey !== undefined && text.includes(ownKey))
        || (text.match(keyPattern) ?? []).some(found => isValidDigest(keyDigest(found)));
    if (decodedFormsOf(parts.target).some(containsKey)) {
        return "path";
    }
    const headers = parts.forwardedHeaders.map(name => parts.headers[name]).flat();
    if (headers.some(value => value !== undefined && decodedFormsOf(value).some(containsKey))) {
        return "headers";
    }
    return searchableBodyTexts(parts.body, ownKey).some(containsKey) ? "body" : undefined;
}

/** Returns the forms of a body to search; none if it contains no key prefix, caller's key or escape. */
function searchableBodyTexts(body: Buffer, ownKey: string | undefined): readonly string[] {
    const mayContainKey = body.includes(keyPrefix) || (ownKey !== undefined && body.includes(ownKey));
    const mayContainEscapes = body.includes("\\u") || body.includes("%");
    return mayContainKey || mayContainEscapes ? decodedFormsOf(body.toString("latin1")) : [];
}

/** Returns a text as received and with its escapes decoded once and twice, to cover double encoding. */
function decodedFormsOf(text: string): readonly string[] {
    const decodedOnce = unescapeText(text);
    const decodedTwice = unescapeText(decodedOnce);
    return [...new Set([text, decodedOnce, decodedTwice])];
}

function unescapeText(text: string): string {
    return text.replace(percentEscape, decodeEscape).replace(jsonEscape, decodeEscape);
}

/** Decodes one percent or Unicode escape to its character. */
function decodeEscape(escape: string): string {
    return String.fromCharCode(parseInt(escape.replace(/^\\u|^%/, ""), 16));
}

import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";

/** Characters that are not allowed in a path: white space, control characters, backslash and number sign. */
const forbiddenCharacter = /[\s\p{Cc}\\#]/u;

/**
 * Extracts the path from the target of a request.
 *
 * Rejects what an endpoint could interpret differently from this entry: absolute URLs, dot segments, backslashes and
 * escaped separators could move a request outside the path prefix of its route.
 *
 * @returns The path without the query, still escaped, or `pathMalformed`.
 */
export function parseRequestPath(target: string): Result<string, Failure> {
    const path = target.split("?", 1)[0] ?? "";
    const reason = findPathFault(path);
    return reason === undefined ? Ok(path) : Err(failure("pathMalformed", { reason }));
}

function findPathFault(path: string): string | undefined {
    if (!path.startsWith("/")) {
        return "it does not begin with a slash";
    }
    if (forbiddenCharacter.test(path)) {
        return "it holds a forbidden character";
    }
    let decoded: string;
    try {
        decoded = decodeURIComponent(path);
    }
    catch {
        return "it holds a malformed escape";
    }
    if (/%2f|%5c|%25/i.test(path)) {
        return "it holds an escaped separator";
    }
    return decoded.split("/").some(segment => segment === "." || segment === "..")
        ? "it holds dot segments"
        : undefined;
}

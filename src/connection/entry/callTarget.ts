import type { Failure } from "../../resultCode/resultCode.js";
import { failure } from "../../resultCode/resultCode.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";

/** Characters that have no place in a path: white space and control characters, backslash, number sign. */
const forbidden = /[\s\p{Cc}\\#]/u;

/**
 * Reads the path of a request.
 *
 * What an endpoint might understand otherwise than this entry is refused: absolute forms, dot segments, backslashes and
 * escaped separators would lead a request out of the prefix of its route.
 */
export function readPath(target: string): Result<string, Failure> {
    const path = target.split("?", 1)[0] ?? "";
    const reason = faultOf(path);
    return reason === undefined ? Ok(path) : Err(failure("pathMalformed", { reason }));
}

function faultOf(path: string): string | undefined {
    if (!path.startsWith("/")) {
        return "it does not begin with a slash";
    }
    if (forbidden.test(path)) {
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

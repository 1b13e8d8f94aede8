import { createHash } from "node:crypto";

/** Maximum length of an id that is used as it is. */
const maximumIdLength = 64;

/** An id of bounded length: the id itself, or its digest if it is long. */
export function shortId(id: string): string {
    return id.length <= maximumIdLength ? id : createHash("sha256").update(id).digest("hex");
}

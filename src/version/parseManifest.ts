import type { Failure } from "../resultCode/resultCode.js";
import { JsonDocument } from "../settings/jsonDocument.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { checkManifestReferences } from "./checkManifestReferences.js";
import { manifestSchema } from "./manifest.js";
import type { Manifest } from "./manifest.js";

/**
 * Parses and validates a manifest in JSON with comments.
 *
 * @param file File name for failures.
 * @returns The manifest, or all failures, each with line, path and result code.
 */
export function parseManifest(file: string, text: string): Result<Manifest, readonly Failure[]> {
    const document = JsonDocument.parse(file, text);
    if (document.err) {
        return document;
    }
    const manifest = document.val.validate(manifestSchema);
    const references = checkManifestReferences(document.val);
    if (manifest.err) {
        return Err([...manifest.val, ...references]);
    }
    return references.length > 0 ? Err(references) : Ok(manifest.val);
}

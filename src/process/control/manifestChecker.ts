import { once } from "node:events";
import { Worker } from "node:worker_threads";
import type { Failure } from "../../resultCode/resultCode.js";
import { canonicalDigest } from "../../util/canonicalDigest.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { Manifest } from "../../version/manifest.js";
import { parseManifest } from "../../version/parseManifest.js";

/**
 * Maximum length of a text that is checked in the calling thread.
 *
 * A longer text would block the event loop for a considerable part of the leader's lease.
 */
const maximumSyncCharacters = 256 * 1024;

/** A valid manifest. */
export interface CheckedManifest {
    readonly manifest: Manifest;
    /** Digest of the canonical content. */
    readonly digest: string;
}

/** Text of a manifest. */
export interface ManifestSource {
    /** File name shown in failures. */
    readonly file: string;
    readonly text: string;
}

/** Result of a check, as posted by the worker thread. */
export type ManifestCheckResult =
    | { readonly kind: "valid"; readonly checked: CheckedManifest; }
    | { readonly kind: "faulty"; readonly failures: readonly Failure[]; };

/** Parses and checks a manifest in the calling thread. */
export function checkManifestSync({ file, text }: ManifestSource): ManifestCheckResult {
    const manifest = parseManifest(file, text);
    return manifest.ok
        ? { kind: "valid", checked: { manifest: manifest.val, digest: canonicalDigest(manifest.val) } }
        : { kind: "faulty", failures: manifest.val };
}

/** Parses and checks a manifest; uses a worker thread for a long text, so that it does not delay heartbeats. */
export async function checkManifest(source: ManifestSource): Promise<Result<CheckedManifest, readonly Failure[]>> {
    const result = source.text.length <= maximumSyncCharacters
        ? checkManifestSync(source)
        : await checkInWorker(source);
    return result.kind === "valid" ? Ok(result.checked) : Err(result.failures);
}

async function checkInWorker(source: ManifestSource): Promise<ManifestCheckResult> {
    const worker = new Worker(new URL("./manifestThread.js", import.meta.url), { workerData: source });
    try {
        const [result] = await once(worker, "message") as [ManifestCheckResult];
        return result;
    }
    finally {
        await worker.terminate();
    }
}

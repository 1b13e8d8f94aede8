import { once } from "node:events";
import { Worker } from "node:worker_threads";
import type { Failure } from "../../resultCode/resultCode.js";
import { canonicalDigest } from "../../util/canonicalDigest.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import type { Manifest } from "../../version/manifest.js";
import { readManifest } from "../../version/readManifest.js";

/** Texts up to this length are read at once; longer ones would hold the event loop for a part of the lease. */
const shortTextCharacters = 256 * 1024;

/** A manifest that was checked as a whole. */
export interface CheckedManifest {
    readonly manifest: Manifest;
    /** Digest of its content. */
    readonly digest: string;
}

/** What a manifest is read from. */
export interface ManifestText {
    /** Name shown in failures. */
    readonly file: string;
    readonly text: string;
}

/** What the thread that reads a manifest sends back. */
export type ManifestReading =
    | { readonly kind: "valid"; readonly checked: CheckedManifest; }
    | { readonly kind: "faulty"; readonly failures: readonly Failure[]; };

/** Reads and checks a manifest in this thread. */
export function readNow({ file, text }: ManifestText): ManifestReading {
    const manifest = readManifest(file, text);
    return manifest.ok
        ? { kind: "valid", checked: { manifest: manifest.val, digest: canonicalDigest(manifest.val) } }
        : { kind: "faulty", failures: manifest.val };
}

/** Reads and checks a manifest; a long one in a thread of its own, so that heartbeats go on meanwhile. */
export async function readAside(source: ManifestText): Promise<Result<CheckedManifest, readonly Failure[]>> {
    const reading = source.text.length <= shortTextCharacters ? readNow(source) : await readInThread(source);
    return reading.kind === "valid" ? Ok(reading.checked) : Err(reading.failures);
}

async function readInThread(source: ManifestText): Promise<ManifestReading> {
    const worker = new Worker(new URL("./manifestThread.js", import.meta.url), { workerData: source });
    try {
        const [reading] = await once(worker, "message") as [ManifestReading];
        return reading;
    }
    finally {
        await worker.terminate();
    }
}

/** Worker thread that checks one manifest and posts the result. */
import { parentPort, workerData } from "node:worker_threads";
import { checkManifestSync } from "./manifestReader.js";
import type { ManifestSource } from "./manifestReader.js";

parentPort?.postMessage(checkManifestSync(workerData as ManifestSource));

/** Worker thread that checks one manifest and posts the result. */
import { parentPort, workerData } from "node:worker_threads";
import { checkManifestSync } from "./manifestChecker.js";
import type { ManifestSource } from "./manifestChecker.js";

parentPort?.postMessage(checkManifestSync(workerData as ManifestSource));

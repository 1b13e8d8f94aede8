/** The thread that reads one long manifest, posts what came of it, and ends. */
import { parentPort, workerData } from "node:worker_threads";
import { readNow } from "./manifestReader.js";
import type { ManifestText } from "./manifestReader.js";

parentPort?.postMessage(readNow(workerData as ManifestText));

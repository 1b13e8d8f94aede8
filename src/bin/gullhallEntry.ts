#!/usr/bin/env node
/** `gullhall-entry`: accepts requests from callers and forwards them to endpoints. */
import "./processSignals.js";

await import("./entryMain.js");

#!/usr/bin/env node
/** `gullhall-hosted-entry`: accepts calls from callers of a hosted installation and forwards them to endpoints. */
import "./processSignals.js";

await import("./hostedEntryMain.js");

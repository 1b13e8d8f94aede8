#!/usr/bin/env node
/** `gullhall-control`: maintains the durable replicated state and calls the platform. */
import "./processSignals.js";

await import("./controlMain.js");

#!/usr/bin/env node
/** `gullhall-hosted-control`: maintains the configuration of a hosted installation and calls its platform. */
import "./processSignals.js";

await import("./hostedControlMain.js");

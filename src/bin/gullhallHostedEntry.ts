#!/usr/bin/env node
/** `gullhall-hosted-entry`: accepts calls from callers of a hosted installation and forwards them to endpoints. */
import { HostedEntryProcess } from "../process/hosted/entry/hostedEntryProcess.js";
import { runHosted } from "./runHosted.js";

await runHosted({
    role: "entry",
    create: (settings, clock, eventLog) => new HostedEntryProcess(settings, clock, eventLog),
});

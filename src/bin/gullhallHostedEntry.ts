#!/usr/bin/env node
/** `gullhall-hosted-entry`: takes callers' calls on a hosted installation and sends them to endpoints. */
import { HostedEntryProcess } from "../process/hosted/entry/hostedEntryProcess.js";
import { runHosted } from "./runHosted.js";

await runHosted({
    role: "entry",
    create: (settings, clock, eventLog) => new HostedEntryProcess(settings, clock, eventLog),
});

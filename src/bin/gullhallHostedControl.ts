#!/usr/bin/env node
/** `gullhall-hosted-control`: maintains the configuration of a hosted installation and calls its platform. */
import { HostedControlProcess } from "../process/hosted/control/hostedControlProcess.js";
import { runHosted } from "./runHosted.js";

await runHosted({
    role: "control",
    create: (settings, clock, eventLog) => new HostedControlProcess(settings, clock, eventLog),
});

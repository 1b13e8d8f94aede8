/** Main module of `gullhall-hosted-entry`. */
import { HostedEntryProcess } from "../process/hosted/entry/hostedEntryProcess.js";
import { runHosted } from "./runHosted.js";

await runHosted({
    role: "entry",
    create: (settings, clock, eventLog) => new HostedEntryProcess(settings, clock, eventLog),
});

/** Main module of `gullhall-hosted-control`. */
import { HostedControlProcess } from "../process/hosted/control/hostedControlProcess.js";
import { runHosted } from "./runHosted.js";

await runHosted({
    role: "control",
    create: (settings, clock, eventLog) => new HostedControlProcess(settings, clock, eventLog),
});

/** Runs a hosted program as the soak's own process: behind proxies, with a clock and a disk that can be harmed. */
import { runHosted } from "../../../src/bin/runHosted.js";
import { HostedControlProcess } from "../../../src/process/hosted/control/hostedControlProcess.js";
import { HostedEntryProcess } from "../../../src/process/hosted/entry/hostedEntryProcess.js";
import { FileLogStorage } from "../../../src/process/replicatedLog/fileLogStorage.js";
import { FaultyDisk } from "./faultyStorage.js";
import { SteppedClock } from "./steppedClock.js";
import { takeVmAddresses } from "./vmAddresses.js";
import { vmOrderSchema } from "./vmOrder.js";

const [role = "", host = ""] = process.argv.slice(2);
const clock = new SteppedClock();
const disk = new FaultyDisk();

takeVmAddresses(host);
process.on("message", message => {
    const order = vmOrderSchema.parse(message);
    if (order.kind === "clock") {
        clock.setOffset(order.offset);
    }
    else {
        disk.set(order.condition);
    }
});
// The soak has ended without its last orders.
process.once("disconnect", () => process.exit());

await runHosted({
    role,
    create: (settings, ownClock, eventLog) =>
        role === "entry"
            ? new HostedEntryProcess(settings, ownClock, eventLog)
            : new HostedControlProcess(settings, ownClock, eventLog, async folder => {
                const storage = await FileLogStorage.open(folder);
                return storage.map(sound => disk.storageOver(sound));
            }),
}, clock);

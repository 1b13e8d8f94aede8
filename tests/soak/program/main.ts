/** Runs a hosted control or entry process for the soak: behind proxies, with injectable clock and disk faults. */
import { runHosted } from "../../../src/bin/runHosted.js";
import { HostedControlProcess } from "../../../src/process/hosted/control/hostedControlProcess.js";
import { HostedEntryProcess } from "../../../src/process/hosted/entry/hostedEntryProcess.js";
import { FileLogStorage } from "../../../src/process/replicatedLog/fileLogStorage.js";
import { FaultyDisk } from "./faultyDisk.js";
import { OffsetClock } from "./offsetClock.js";
import { usePrivateAddress } from "./privateAddress.js";
import { vmCommandSchema } from "./vmCommand.js";

const [role = "", host = ""] = process.argv.slice(2);
const clock = new OffsetClock();
const disk = new FaultyDisk();

usePrivateAddress(host);
process.on("message", message => {
    const command = vmCommandSchema.parse(message);
    if (command.kind === "clock") {
        clock.setOffset(command.offset);
    }
    else {
        disk.setCondition(command.condition);
    }
});
// The soak has ended without stopping this process.
process.once("disconnect", () => process.exit());

await runHosted({
    role,
    create: (settings, processClock, eventLog) =>
        role === "entry"
            ? new HostedEntryProcess(settings, processClock, eventLog)
            : new HostedControlProcess(settings, processClock, eventLog, async folder => {
                const storage = await FileLogStorage.open(folder);
                return storage.map(files => disk.wrapStorage(files));
            }),
}, clock);

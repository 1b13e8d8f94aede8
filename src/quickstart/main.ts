/** The first tour: the whole path on this machine, with real programs and stand-ins for the outside systems. */
import { SystemClock } from "../util/clock.js";
import { ClassTimes } from "./classTimes.js";
import { Cluster } from "./cluster.js";
import { Tour } from "./tour.js";
import { TourTable } from "./tourTable.js";

const clock = new SystemClock();
const table = new TourTable(clock);
const times = new ClassTimes();
const cluster = new Cluster();

try {
    await table.run("start 3 control and 3 entry processes", async () => {
        await cluster.start();
        return cluster.entries.length + cluster.controls.length;
    }, started => started === 6);
    await new Tour({ cluster, table, times, clock }).run();
}
finally {
    await table.run("stop every process gracefully", async () => {
        await cluster[Symbol.asyncDispose]();
        return cluster.exitCodes.map(code => code ?? "killed").join(" ");
    }, codes => /^0( 0)*$/.test(codes));
    table.print();
    process.stdout.write(`\n${times.lines().join("\n")}\n`);
    process.exitCode = table.allAsExpected ? 0 : 1;
}

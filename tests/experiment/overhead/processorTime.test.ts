import process from "node:process";
import { processorTime } from "../../../src/experiment/overhead/processorTime.js";
import { describe, it } from "../../describe.js";

describe("processorTime", () => {
    it("agrees with what the process says of itself", async t => {
        const { user, system } = process.cpuUsage();
        const before = (user + system) / 1000;
        const measured = await processorTime(process.pid);
        const after = process.cpuUsage();
        t.true(measured >= before - 20 && measured <= (after.user + after.system) / 1000 + 20);
    });
});

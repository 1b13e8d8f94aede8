import { allocateFreeAddresses } from "../../src/quickstart/freeAddresses.js";
import { describe, it } from "../describe.js";

describe("freeAddresses", () => {
    it("never allocates an address twice while the process is running", async t => {
        const allocated: string[] = [];
        for (let call = 0; call < 60; call++) {
            allocated.push(...await allocateFreeAddresses(10));
        }
        t.is(new Set(allocated).size, allocated.length);
    });
});

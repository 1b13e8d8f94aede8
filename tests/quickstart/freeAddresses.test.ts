import { freeAddresses } from "../../src/quickstart/freeAddresses.js";
import { describe, it } from "../describe.js";

describe("free addresses", () => {
    it("are never given twice while the process that took them runs", async t => {
        const taken: string[] = [];
        for (let call = 0; call < 60; call++) {
            taken.push(...await freeAddresses(10));
        }
        t.is(new Set(taken).size, taken.length);
    });
});

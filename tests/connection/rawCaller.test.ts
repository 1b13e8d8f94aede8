import { DisposableStore } from "../../src/util/disposableStore.js";
import { describe, it } from "../describe.js";
import { sendRaw } from "./rawCaller.js";
import { startRawServer } from "./rawServer.js";

describe("sendRaw", () => {
    for (const [ending, seen] of [["end", "end"], ["resetWithData", "reset"]] as const) {
        // Guards against tests that take a connection that was reset for one that ended in order.
        it(`tells how a connection ended (${ending})`, async t => {
            await using store = new DisposableStore();
            const address = await startRawServer(store, "HTTP/1.1 200 OK\r\n\r\nbody", ending);
            const response = await sendRaw(address, "GET / HTTP/1.0\r\n\r\n", 10_000);
            t.deepEqual([response.framedBody, response.ending], ["body", seen]);
        });
    }
});

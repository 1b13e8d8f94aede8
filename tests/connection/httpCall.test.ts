import { httpCall } from "../../src/connection/httpCall.js";
import { DisposableStore } from "../../src/util/disposableStore.js";
import { describe, it } from "../describe.js";
import { stalledBodyBytes, StalledEndpoint } from "./stalledEndpoint.js";

describe("httpCall", () => {
    for (const cancellation of ["timeout", "signal"]) {
        // Guards against orders that a server receives after the caller has given them up and told so.
        it(`withdraws what the server has not received (${cancellation})`, async t => {
            await using store = new DisposableStore();
            const server = await StalledEndpoint.start(store);
            const controller = new AbortController();
            const result = httpCall({
                address: server.address,
                method: "POST",
                path: "/",
                body: Buffer.alloc(stalledBodyBytes),
                timeout: cancellation === "timeout" ? 300 : 60_000,
                signal: controller.signal,
            });
            await server.waitForStall();
            if (cancellation === "signal") {
                controller.abort();
            }
            t.true((await result).err);
            t.true(await server.readToEnd() < stalledBodyBytes);
        });
    }
});

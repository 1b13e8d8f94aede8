import { createServer } from "node:net";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { ask, codeOf } from "../../connection/entry/testCaller.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { truncatedHeads } from "../../connection/truncatedHeads.js";
import { describe, itSerially } from "../../describe.js";

describe("response of a service whose head ends early", () => {
    for (const { title, bytes } of truncatedHeads("x-request-id: request-1\r\n")) {
        for (const ending of ["end", "reset"]) {
            // Guards against a success that is made of a head which a service did not complete (MIXED).
            itSerially(`is no success (${title}, then ${ending})`, async t => {
                await using store = new DisposableStore();
                const server = createServer(socket => {
                    socket.on("error", () => undefined);
                    socket.once("data", () => {
                        socket.write(bytes, () => {
                            if (ending === "end") {
                                socket.end();
                                return;
                            }
                            setTimeout(() => socket.resetAndDestroy(), 20);
                        });
                    });
                });
                store.defer(() => {
                    server.close();
                });
                const entry = store.add(await TestEntry.start({ services: [await listen(server, "127.0.0.1:0")] }));
                const response = await ask(entry, { path: "/bookings/a", body: "{}" });
                t.deepEqual([codeOf(response), response.headers["x-outcome"]], ["endpointFailed", "unknown"]);
            });
        }
    }
});

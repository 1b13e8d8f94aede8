import { createServer } from "node:http";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { ask } from "../../connection/entry/testCaller.js";
import { TestEntry } from "../../connection/entry/testEntry.js";
import { describe, it } from "../../describe.js";

describe("error of a service that does not state whether it has run the request", () => {
    for (const status of [408, 421, 429, 503]) {
        // Guards against a promise in x-outcome that the service did not make, and against a second run (REFUSED).
        it(`does not count as "not run" (${status})`, async t => {
            await using store = new DisposableStore();
            let runs = 0;
            const server = createServer((request, response) => {
                request.resume();
                request.once("end", () => {
                    runs += request.method === "POST" ? 1 : 0;
                    response.writeHead(status, { "x-outcome": "notRun" }).end("failed");
                });
            });
            store.defer(() => {
                server.close();
                server.closeAllConnections();
            });
            const services = [await listen(server, "127.0.0.1:0")];
            const entry = store.add(await TestEntry.start({ services }));
            const call = { path: "/bookings/a", body: "{}", headers: { "idempotency-key": "booking-1" } };
            for (const response of [await ask(entry, call), await ask(entry, call)]) {
                t.deepEqual([response.status, response.body], [status, "failed"]);
                t.is(response.headers["x-outcome"], undefined);
            }
            t.is(runs, 1);
        });
    }
});

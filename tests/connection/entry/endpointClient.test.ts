import { EndpointClient } from "../../../src/connection/entry/endpointClient.js";
import { describe, it } from "../../describe.js";

describe("EndpointClient", () => {
    for (const address of ["127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:x", "nowhere"]) {
        // Guards against requests that fail with an exception because of an address that the platform stated.
        it(`reports that nothing was sent to ${address}`, async t => {
            using client = new EndpointClient(address);
            const { signal } = new AbortController();
            const result = await client.send({ method: "GET", path: "/", headers: {}, body: Buffer.alloc(0), signal });
            t.true(result.kind === "error" && !result.error.sent);
        });
    }
});

import { setTimeout as sleep } from "node:timers/promises";
import { formatRequest } from "../../connection/leavingCaller.js";
import { looksComplete, sendRaw } from "../../connection/rawCaller.js";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";

/** Requests that wait for a quorum. */
const requests = {
    "replaces the configuration": formatRequest(
        "POST",
        "/v1/configuration/replace",
        { host: "control" },
        JSON.stringify(documentOf(4, {})),
    ),
    "fetches the configuration": formatRequest("GET", "/v1/configuration/fetch", { host: "control" }),
};

describe("hosted control process that stops", () => {
    for (const [index, [title, request]] of Object.entries(requests).entries()) {
        // Guards against requests of operators that were received completely and end without a response.
        itSerially(`answers a request that ${title}`, async t => {
            await using installation = await HostedInstallation.start(191 + index, () => undefined);
            await installation.submitUntilAccepted(documentOf(3, {}));
            const leader = await installation.findLeader();
            const others = [1, 2, 3].filter(control => control !== leader);
            await Promise.all(others.map(control => installation.stopControl(control)));
            const responded = sendRaw(installation.operatorAddress(leader), request, 20_000);
            await sleep(100);
            await installation.stopControl(leader);
            const response = await responded;
            t.regex(response.head, /^HTTP\/1\.1 \d{3} .*\r\nconnection: close/is);
            t.is(response.ending, "end");
            t.true(looksComplete(response));
        });
    }
});

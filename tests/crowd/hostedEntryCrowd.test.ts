import { relayPortOffset } from "../../src/connection/hosted/linkMessages.js";
import { describe, itSerially } from "../describe.js";
import { checkAgainstCrowd } from "./crowd.js";
import type { Crowd } from "./crowd.js";
import { anonymousContents, callerContents, unfinishedUpload, uploadContent } from "./crowdContents.js";
import { callHeaders, HostedPrograms } from "./hostedPrograms.js";

const callLines = ["POST /bookings/a HTTP/1.1", ...Object.entries(callHeaders).map(line => line.join(": "))] as const;

const wrongKey = Buffer.from("GET /bookings/a HTTP/1.1\r\nHost: calls.example\r\nApi-Key: wrong\r\n\r\n");

const uploads = { connections: 400, bytesAhead: 900_000 } as const;

const callerCrowds: readonly (readonly [title: string, crowd: Crowd])[] = [
    ...Object.entries({ ...anonymousContents, ...callerContents(callLines), "with a wrong key": wrongKey })
        .map(([title, content]) => [title, { content }] as const),
    ["with large bodies", { ...uploads, content: uploadContent(callLines, 900_000) }],
    ["with large bodies that never end", { ...uploads, content: unfinishedUpload(callLines, 990_000, 90_000) }],
    ["with large bodies at paths without a route", {
        ...uploads,
        content: uploadContent(["POST /nowhere HTTP/1.1", "Host: a"], 900_000),
    }],
];

/** Further listeners of an entry, by title. */
const listeners: Readonly<Record<string, (installation: HostedPrograms) => string>> = {
    readiness: installation => installation.readinessAddress,
    metrics: installation => installation.metricsAddress("entry"),
    relay: installation => installation.internalAddress("entry", relayPortOffset),
};

describe("crowd › hosted entry", () => {
    for (const [index, [title, crowd]] of callerCrowds.entries()) {
        // Guards against requests that are taken up faster than their responses leave.
        itSerially(`stays within its memory while callers that read nothing send requests ${title}`, async t => {
            await using installation = await HostedPrograms.start(120 + index);
            await checkAgainstCrowd(t, installation.entryTarget(installation.callerAddress), crowd);
        });
    }

    for (const [index, [listener, addressOf]] of Object.entries(listeners).entries()) {
        for (const title of ["at paths without a route", "without Host", "of short lines"]) {
            // Guards against the same at listeners that are not meant for callers.
            itSerially(`stays within its memory while its ${listener} listener gets requests ${title}`, async t => {
                await using installation = await HostedPrograms.start(150 + index);
                const content = anonymousContents[title] ?? Buffer.alloc(0);
                await checkAgainstCrowd(t, installation.entryTarget(addressOf(installation)), { content });
            });
        }
    }
});

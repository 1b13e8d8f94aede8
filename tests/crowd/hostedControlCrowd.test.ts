import { controlLinkPortOffset, peerPortOffset } from "../../src/connection/hosted/linkMessages.js";
import { describe, itSerially } from "../describe.js";
import { checkAgainstCrowd } from "./crowd.js";
import type { Crowd } from "./crowd.js";
import { anonymousContents, unfinishedFrame, unfinishedUpload } from "./crowdContents.js";
import { HostedPrograms } from "./hostedPrograms.js";

const documentLines = ["POST /v1/configuration/replace HTTP/1.1", "Host: a"] as const;

const operatorCrowds: readonly (readonly [title: string, crowd: Crowd])[] = [
    ...Object.entries(anonymousContents).map(([title, content]) => [title, { content }] as const),
    ["with configurations that never end", {
        content: unfinishedUpload(documentLines, 16_000_000, 4_000_000),
        bytesAhead: 12_000_000,
    }],
    ["for the configuration", { content: Buffer.from("GET /v1/configuration/fetch HTTP/1.1\r\nHost: a\r\n\r\n") }],
];

describe("crowd › hosted control process", () => {
    for (const [index, [title, crowd]] of operatorCrowds.entries()) {
        // Guards against requests that are taken up faster than their responses leave.
        itSerially(`stays within its memory while operators that read nothing send requests ${title}`, async t => {
            await using installation = await HostedPrograms.start(160 + index);
            await checkAgainstCrowd(t, installation.controlTarget(installation.operatorAddress), crowd);
        });
    }

    for (const title of ["at paths without a route", "without Host"]) {
        // Guards against the same at the listener for metrics.
        itSerially(`stays within its memory while its metrics listener gets requests ${title}`, async t => {
            await using installation = await HostedPrograms.start(175);
            const content = anonymousContents[title] ?? Buffer.alloc(0);
            await checkAgainstCrowd(t, installation.controlTarget(installation.metricsAddress("control")), { content });
        });
    }

    // Guards against frames of unknown processes that are buffered whole.
    itSerially("stays within its memory while unknown processes send entries' frames that never end", async t => {
        await using installation = await HostedPrograms.start(176);
        const address = installation.internalAddress("control", controlLinkPortOffset);
        const crowd = {
            connections: 400,
            content: unfinishedFrame(1_000_000).subarray(0, 990_000),
            bytesAhead: 990_000,
        };
        await checkAgainstCrowd(t, installation.controlTarget(address), crowd);
    });

    // Guards against frames of unknown processes that are buffered whole.
    itSerially("stays within its memory while unknown processes send peers' frames that never end", async t => {
        await using installation = await HostedPrograms.start(177);
        const address = installation.internalAddress("control", peerPortOffset);
        const crowd = {
            connections: 60,
            content: unfinishedFrame(8_000_000).subarray(0, 7_900_000),
            bytesAhead: 7_900_000,
        };
        await checkAgainstCrowd(t, installation.controlTarget(address), crowd);
    });
});

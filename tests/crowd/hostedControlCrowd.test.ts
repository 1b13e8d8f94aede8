import { describe, itSerially } from "../describe.js";
import { checkAgainstCrowd } from "./crowd.js";
import type { Crowd } from "./crowd.js";
import { anonymousContents, unfinishedUpload } from "./crowdContents.js";
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
});

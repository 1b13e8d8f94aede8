import process from "node:process";
import { describe, itSerially } from "../describe.js";
import { checkAgainstCrowd } from "./crowd.js";
import type { Crowd } from "./crowd.js";
import {
    anonymousContents,
    callerContents,
    unfinishedFrame,
    unfinishedUpload,
    uploadContent,
} from "./crowdContents.js";
import { OwnPrograms } from "./ownPrograms.js";

// The heap that the deploy file of the hosted installation states.
process.env["NODE_OPTIONS"] = "--max-old-space-size=160";

type CrowdOf = (programs: OwnPrograms) => Crowd;

const bookingLines = (programs: OwnPrograms): [string, ...string[]] => [
    "POST /bookings/places HTTP/1.1",
    "Host: a",
    `Authorization: Bearer ${programs.key}`,
];

const uploads = { connections: 100, bytesAhead: 4_000_000 } as const;

const callerCrowds: Readonly<Record<string, CrowdOf>> = {
    ...Object.fromEntries(Object.entries(anonymousContents).map(([title, content]) => [title, () => ({ content })])),
    "for the list of entries": () => ({ content: Buffer.from("GET /v1/entries HTTP/1.1\r\nHost: a\r\n\r\n") }),
    "that are answered": programs => ({
        content: callerContents(bookingLines(programs))["that are answered"] ?? Buffer.alloc(0),
    }),
    "with large bodies": programs => ({ ...uploads, content: uploadContent(bookingLines(programs), 4_000_000) }),
    "with large bodies that never end": programs => ({
        ...uploads,
        content: unfinishedUpload(bookingLines(programs), 4_100_000, 100_000),
    }),
};

describe("crowd › own installation", () => {
    for (const [title, crowdOf] of Object.entries(callerCrowds)) {
        // Guards against requests that are taken up faster than their responses leave.
        itSerially(`entry stays within its memory while callers that read nothing send requests ${title}`, async t => {
            await using programs = await OwnPrograms.start();
            await checkAgainstCrowd(t, programs.entryTarget, crowdOf(programs));
        });
    }

    for (const title of ["at paths without a route", "without Host"]) {
        // Guards against the same at the listener for operators.
        itSerially(
            `control stays within its memory while operators that read nothing send requests ${title}`,
            async t => {
                await using programs = await OwnPrograms.start();
                await checkAgainstCrowd(t, programs.operatorTarget, {
                    content: anonymousContents[title] ?? Buffer.alloc(0),
                });
            },
        );
    }

    // Guards against manifests that are buffered before their sender is known, or without a bound on their sum.
    itSerially("control stays within its memory while manifests are sent that never end", async t => {
        await using programs = await OwnPrograms.start();
        const lines = [
            "PUT /v1/manifest HTTP/1.1",
            "Host: a",
            `Authorization: Bearer ${programs.operatorToken}`,
        ] as const;
        await checkAgainstCrowd(t, programs.operatorTarget, {
            content: unfinishedUpload(lines, 16_000_000, 4_000_000),
            bytesAhead: 12_000_000,
        });
    });

    // Guards against frames of unknown processes that are buffered whole.
    itSerially(
        "control stays within its memory while unknown processes send entries' frames that never end",
        async t => {
            await using programs = await OwnPrograms.start();
            const crowd = { connections: 120, content: unfinishedFrame(4_000_000), bytesAhead: 3_900_000 };
            await checkAgainstCrowd(t, programs.entryLinkTarget, crowd);
        },
    );
});

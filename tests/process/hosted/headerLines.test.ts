import { sendRaw } from "../../connection/rawCaller.js";
import { callHeaders, HostedPrograms } from "../../crowd/hostedPrograms.js";
import { OwnPrograms } from "../../crowd/ownPrograms.js";
import { describe, itSerially } from "../../describe.js";

/** Time within which the response arrives, in milliseconds. */
const responseTime = 3_000;

const lineForms: Readonly<Record<string, readonly [count: number, lineOf: (index: number) => string]>> = {
    "cookies": [1_200, index => `Cookie: c=${index % 10}`],
    "odd names": [1_500, index => `~${index.toString(36)}: x`],
    "short lines": [1_900, () => "a: b"],
};

describe("request with many header lines", () => {
    // Guards against header lines that are dropped without an error.
    itSerially("reaches a hosted endpoint with each line", async t => {
        await using installation = await HostedPrograms.start(190);
        const callLines = Object.entries(callHeaders).map(line => line.join(": "));
        for (const [count, lineOf] of Object.values(lineForms)) {
            const lines = Array.from(Array(count).keys(), lineOf);
            const request = ["POST /bookings/a HTTP/1.1", ...callLines, ...lines, "", ""].join("\r\n");
            const { head } = await sendRaw(
                installation.callerAddress,
                request.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"),
                responseTime,
            );
            t.regex(head, /^HTTP\/1\.1 200 /);
            const received = installation.received.at(-1) ?? [];
            const pairs = lines.map(line => line.split(": "));
            const sent = pairs.map(([name = ""]) => name.toLowerCase());
            const names = [...received.keys()].filter(index => index % 2 === 0).map(index =>
                received[index]?.toLowerCase() ?? ""
            );
            t.is(names.filter(name => sent.includes(name)).length, count);
        }
    });

    // Guards against a key and a host that are not found because of the lines before them.
    itSerially("is answered if host and key stand behind short lines (hosted)", async t => {
        await using installation = await HostedPrograms.start(191);
        const callLines = Object.entries(callHeaders).map(line => line.join(": "));
        const lines = [...Array<string>(3_000).fill("a:"), ...callLines, "Connection: close"];
        const { head } = await sendRaw(
            installation.callerAddress,
            ["POST /bookings/a HTTP/1.1", ...lines, "", ""].join("\r\n"),
            responseTime,
        );
        t.regex(head, /^HTTP\/1\.1 200 /);
    });

    // Guards against a key and a host that are not found because of the lines before them.
    itSerially("is answered if host and key stand behind short lines (own)", async t => {
        await using programs = await OwnPrograms.start();
        const lines = [
            ...Array<string>(3_000).fill("a:"),
            "Host: a",
            `Authorization: Bearer ${programs.key}`,
            "Content-Length: 2",
            "Connection: close",
        ];
        const { head } = await sendRaw(
            programs.entryTarget.address,
            ["POST /bookings/places HTTP/1.1", ...lines, "", "{}"].join("\r\n"),
            responseTime,
        );
        t.regex(head, /^HTTP\/1\.1 200 /);
    });
});

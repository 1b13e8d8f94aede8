/** Three core machines are replaced by new ones; then one of the five that are left loses its disk. */
import { mkdirSync, rmSync } from "node:fs";
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { call, desiredStateFor, runCase } from "../lib/installation.mjs";

const service = "bookings";

/** `catch-up-s` after which a successor counts, with a margin. */
const catchUp = 8_000;

/** How long the operator reads back: `recovery-s` and `connectivity-ms`, with a margin. */
const readBackTime = 30_000;

const members = 3;

await runCase("review/1", async ({ record, isTroubled, install }) => {
    const installation = install({ controls: 5, entries: 1 });
    const route = { service, kind: "safe", "timeout-ms": 2500 };
    await installation.start(desiredStateFor(1, [route]), async () => {
        await installation.addServer(service, (server, request, response) => {
            response.writeHead(200, server.answerHeaders(request));
            response.end("booked");
        });
    });
    await sleep(catchUp);
    const leaving = installation.controls.slice(-members);
    for (let number = 1; number <= members; number++) {
        const machine = installation.addControl();
        machine.start();
        record.write(`${machine.name} is added with an empty disk`);
    }
    await sleep(catchUp);
    for (const machine of leaving) {
        record.write(`${machine.name} gets SIGTERM and is removed for good`);
        machine.signal("SIGTERM");
        await machine.exited;
        await sleep(catchUp);
    }
    const remaining = installation.controls.filter(machine => !leaving.includes(machine));
    installation.controls = remaining;
    const desiredState = desiredStateFor(2, [route]);
    await installation.replaceConfiguration(desiredState, 10_000);
    record.write(`version 2 was acknowledged by the five machines ${remaining.map(({ name }) => name).join(", ")}`);
    await sleep(2_000);
    if (isTroubled) {
        const [lost] = remaining;
        record.write(`${lost.name} is killed, loses its disk and is started again with an empty one`);
        lost.signal("SIGKILL");
        await lost.exited;
        rmSync(join(lost.folder, "data"), { recursive: true, force: true });
        mkdirSync(join(lost.folder, "data"));
        await sleep(1_000);
        lost.start();
    }
    const deadline = performance.now() + readBackTime;
    let statuses = [];
    while (performance.now() < deadline) {
        const answers = await Promise.all(
            remaining.map(({ operatorAddress }) =>
                call({ ...operatorAddress, method: "GET", path: "/v1/configuration/fetch", timeout: 1_000 })
            ),
        );
        const statusLine = answers.map(answer => answer?.status ?? "none").join(", ");
        if (statuses.at(-1) !== statusLine) {
            record.write(`the operator reads the desired state back: ${statusLine}`);
            statuses.push(statusLine);
        }
        const version = answers.find(answer => answer?.status === 200)?.body;
        if (version !== undefined && performance.now() > deadline - readBackTime + 5_000) {
            record.write(`read back: version ${JSON.parse(version.toString()).version}`);
            return JSON.parse(version.toString()).version === 2 ? [] : ["LOST: an older version was read back"];
        }
        await sleep(500);
    }
    return ["LOST, CONFIG: the acknowledged version 2 was not read back at any machine"];
});

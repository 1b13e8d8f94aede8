// An entry of the platform's list whose bytes can't be read, beside sound ones, and a restart of all processes.
import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { performance } from "node:perf_hooks";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
    bounds,
    desiredState,
    exchange,
    Installation,
    Platform,
    recordCalls,
    route,
    runCase,
    Server,
    service,
} from "../lib-3/kit.mjs";

const bookings = "xano55b";
const callTime = 4_000;

/** An entry of the usual form; the bytes of its zone are no text. */
const unreadableEntry = Buffer.concat([
    Buffer.from(`{"identifier":"i-4711","service":"${bookings}","address":"127.0.0.1:9","zone":"`),
    Buffer.from([0xff, 0x00, 0x9d, 0x1f, 0x02]),
    Buffer.from("\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold-remaining-ms\":0}"),
]);

/** Whether the case plays its disruption: not with TROUBLE=0. */
const hasTrouble = process.env.TROUBLE !== "0";

await runCase(dirname(fileURLToPath(import.meta.url)), hasTrouble, async (record, cleanUp) => {
    const platform = await Platform.start();
    cleanUp(() => platform.stop());
    let hasUnreadableEntry = false;
    platform.answerList = response => {
        const entries = platform.list.map(entry => Buffer.from(JSON.stringify(entry)));
        const all = hasUnreadableEntry ? [...entries, unreadableEntry] : entries;
        const body = Buffer.concat([
            Buffer.from("{\"instances\":["),
            ...all.flatMap((entry, index) => index === 0 ? [entry] : [Buffer.from(","), entry]),
            Buffer.from("],\"next\":null}"),
        ]);
        response.writeHead(200, { "content-type": "application/json", "content-length": body.length }).end(body);
    };
    const servers = [];
    for (const number of [1, 2, 3]) {
        const server = await new Server({ identifier: `i-${bookings}-${number}`, service: bookings }).start();
        servers.push(server);
        cleanUp(() => server.stop());
    }
    platform.list = servers.map(server => server.entry);
    const installation = await Installation.create(platform);
    cleanUp(() => installation.stop());
    installation.startAll();
    const applyVersion = version =>
        installation.applyDesiredState(desiredState({
            version,
            routes: [route({ name: "r-look", prefix: "/lohu930/", kind: "safe", service: bookings, attempts: 2 })],
            services: [service(bookings)],
        }));
    await applyVersion(3);
    await installation.waitUntilReady();
    record.add("both entries are ready");

    let number = 0;
    const callForAWhile = async () => {
        const calls = [];
        const pending = [];
        const until = performance.now() + callTime;
        while (performance.now() < until) {
            const entry = installation.entries[number % installation.entries.length];
            const call = {
                id: `c${(number++).toString().padStart(4, "0")}`,
                method: "GET",
                path: "/lohu930/2f",
                entry: entry.name,
                at: record.time,
            };
            calls.push(call);
            pending.push(
                exchange(installation.callerAddress(entry), {
                    path: call.path,
                    headers: {
                        "host": "ficu95.example",
                        "gullhall-attempt-id": call.id,
                        "gullhall-deadline-remaining": "2500",
                    },
                    timeout: 2_500,
                }).then(({ status }) => Object.assign(call, { status })),
            );
            await sleep(40);
        }
        await Promise.all(pending);
        record.add(`${calls.length} requests were sent:`);
        recordCalls(record, calls, servers);
        return calls.filter(({ status }) => status === 200).length / calls.length;
    };

    const servedBefore = await callForAWhile();
    hasUnreadableEntry = hasTrouble;
    if (hasTrouble) {
        record.add(
            `the list gains an entry of another writer: ${unreadableEntry.toString("latin1").replace(/[^ -~]/g, "?")}`,
        );
    }
    await sleep(3_000);
    await applyVersion(4);
    record.add("version 4 is acknowledged; final fault: all processes are killed");
    await Promise.all(installation.machines.map(machine => machine.kill()));
    await sleep(700);
    installation.machines.forEach(machine => machine.start());
    record.add("all processes are back");
    await sleep(bounds["recovery-s"] * 1_000 + 1_000);
    record.add("recovery-s is over");
    const servedAfter = await callForAWhile();
    return servedBefore >= 0.25 && servedAfter < 0.25
        ? [`RECOVER: served ${servedBefore.toFixed(2)} before, ${servedAfter.toFixed(2)} after recovery-s`]
        : [];
});

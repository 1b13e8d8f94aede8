// Entries of the platform's list from another writer, with fields missing or of another type, beside sound ones.
import { dirname } from "node:path";
import { performance } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
    desiredState,
    exchange,
    hasTrouble,
    Installation,
    Platform,
    recordCalls,
    route,
    runCase,
    Server,
    service,
} from "../lib-3/kit.mjs";

const bookings = "xano55b";
const lookups = "huvo11a";
const callTime = 6_000;

await runCase(dirname(fileURLToPath(import.meta.url)), async (record, cleanUp) => {
    const platform = await Platform.start();
    cleanUp(() => platform.stop());
    const servers = [];
    for (const [name, count] of [[bookings, 3], [lookups, 3]]) {
        for (let number = 1; number <= count; number++) {
            const server = await new Server({ identifier: `i-${name}-${number}`, service: name }).start();
            servers.push(server);
            cleanUp(() => server.stop());
        }
    }
    platform.list = servers.map(server => server.entry);
    const installation = await Installation.create(platform);
    cleanUp(() => installation.stop());
    installation.startAll();
    await installation.applyDesiredState(desiredState({
        version: 3,
        routes: [
            route({ name: "r-book", prefix: "/puxa403/", kind: "unsafe", service: bookings }),
            route({ name: "r-look", prefix: "/lohu930/", kind: "safe", service: lookups, attempts: 2 }),
        ],
        services: [service(bookings), service(lookups)],
    }));
    await installation.waitUntilReady();
    record.add("both entries are ready");
    if (hasTrouble) {
        // The first lacks a field, the second has one of another type: neither names a server to use.
        const [first, second] = servers.filter(server => server.service === bookings);
        platform.otherEntries = [
            { ...first.entry, "service": lookups, "slots": undefined },
            { ...second.entry, "service": lookups, "version": 1 },
        ];
        platform.otherEntries.forEach(entry => record.add(`other writer's entry ${JSON.stringify(entry)}`));
    }
    await sleep(2_000);
    const calls = [];
    const until = performance.now() + callTime;
    for (let number = 0; performance.now() < until; number++) {
        const entry = installation.entries[number % installation.entries.length];
        const isBooking = number % 4 < 2;
        const call = {
            id: `c${number.toString().padStart(4, "0")}`,
            method: isBooking ? "POST" : "GET",
            path: isBooking ? "/puxa403/2f" : "/lohu930/2f",
            service: isBooking ? bookings : lookups,
            entry: entry.name,
            at: record.time,
        };
        calls.push(call);
        void exchange(installation.callerAddress(entry), {
            method: call.method,
            path: call.path,
            headers: {
                "host": "ficu95.example",
                "gullhall-attempt-id": call.id,
                "gullhall-deadline-remaining": "2500",
            },
            ...isBooking ? { body: call.id } : {},
        }).then(({ status }) => Object.assign(call, { status }));
        await sleep(25);
    }
    await sleep(2_600);
    record.add(`${calls.length} requests were sent:`);
    recordCalls(record, calls, servers);
    const serviceOf = new Map(calls.map(({ id, service: name }) => [id, name]));
    const findings = [];
    for (const server of servers) {
        const foreign = server.runs.filter(({ id }) => serviceOf.get(id) !== server.service);
        record.add(`${server.identifier} of ${server.service} ran ${server.runs.length}, ${foreign.length} of another service`);
        if (foreign.length > 0) {
            findings.push(`ROUTE: ${foreign.length} requests for ${serviceOf.get(foreign[0].id)} ran at ${server.identifier} of ${server.service}`);
        }
    }
    return findings;
});

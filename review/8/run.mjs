/** A replica that fails some requests after it has run them, with 503 and without `Gullhall-Not-Executed`. */
import { join } from "node:path";
import { performance } from "node:perf_hooks";
import {
    answerHeaders,
    apiKey,
    configureOrFail,
    Consumer,
    hasTrouble,
    Replica,
    respondOk,
    route,
    runCase,
    service,
    sleep,
    state,
} from "../lib-2/caseKit.mjs";

const replicaCount = 3;

/** Of five requests that a replica runs meanwhile, two get a failure. */
const failures = [false, true, false, true, false];

const failureTime = 4_000;

const sendInterval = 25;

/** Statuses that promise that a request has not run and never will. */
const promises = [408, 421, 429, 503];

await runCase(join(import.meta.dirname, "record.txt"), { controls: 3, entries: 2 }, async (installation, record) => {
    await installation.start();
    let isGrey = false;
    let greyRequests = 0;
    const replicas = Array.from({ length: replicaCount }, (_, index) => {
        const answer = call => {
            const { replica, request, response } = call;
            if (!isGrey || !failures[greyRequests++ % failures.length]) {
                respondOk(call);
                return;
            }
            replica.run(request);
            const body = "the store did not answer in time\n";
            const headers = answerHeaders(replica, request, { "Content-Length": body.length });
            // A failure needs no proof: the system may answer it with a status of its own.
            delete headers["Gullhall-Response-Signature"];
            response.writeHead(503, headers);
            response.end(body);
        };
        return new Replica(installation, { id: `i-${index + 1}`, service: "bookings", number: 151 + index, answer });
    });
    for (const replica of replicas) {
        await replica.start();
        replica.list();
    }
    const routes = [route("confirm", "/confirm/", "bookings", { kind: "unsafe", attempts: 1 })];
    await configureOrFail(installation, state(3, routes, [service("bookings")]));
    await installation.waitUntilReady();
    const consumers = installation.entries.map(entry => new Consumer(installation, entry, { key: apiKey }));
    isGrey = hasTrouble;
    const endAt = performance.now() + failureTime;
    let repeats = 0;
    for (let index = 0; performance.now() < endAt; index++) {
        const consumer = consumers[index % consumers.length];
        const path = `/confirm/place-${index}`;
        const { status } = await consumer.send({ path });
        if (promises.includes(status)) {
            repeats++;
            await consumer.send({ path });
        }
        await sleep(sendInterval);
    }
    const ran = replicas.flatMap(replica => replica.ran);
    const ranIds = new Set(ran.map(({ id }) => id));
    const promised = consumers.flatMap(({ answers }) => answers).filter(({ status }) => promises.includes(status));
    const broken = promised.filter(({ id }) => ranIds.has(id));
    const places = new Map();
    ran.forEach(({ path }) => places.set(path, (places.get(path) ?? 0) + 1));
    const doubled = [...places.values()].filter(count => count > 1).length;
    record.write(`${promised.length} requests were refused as not run; ${broken.length} of them have run`);
    record.write(`${repeats} were repeated after the refusal; ${doubled} places were confirmed twice`);
    return broken.length > 0;
});

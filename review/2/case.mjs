/** SIGTERM to an entry while streams without a length run that last longer than its grace period. */
import { setTimeout as sleep } from "node:timers/promises";
import { bounds, desiredStateFor, runCase } from "../lib/installation.mjs";
import { consumeStream, serveStream } from "../lib/unframed.mjs";

const service = "drafting";

/** Number of streams, and the events of each: 48 events, one each 250 ms, last 12 s, inside the time limit of 15 s. */
const streams = 4;
const events = 48;
const eventInterval = 250;

/** When the entry gets SIGTERM, after the streams were asked for. */
const termAfter = 1_500;

/** `grace-s`: the platform sends SIGKILL after it. */
const grace = bounds["grace-s"] * 1_000;

await runCase("review/2", async ({ record, isTroubled, install }) => {
    const installation = install({ controls: 3, entries: 7 });
    const route = { service, "kind": "streaming", "gap-target-ms": 1000 };
    await installation.start(desiredStateFor(1, [route]), async () => {
        for (let number = 0; number < 2; number++) {
            await installation.addServer(service, (server, request, response) => {
                record.write(`${server.id} runs ${request.headers["gullhall-attempt-id"]}`);
                void serveStream(server, request, response, { events, eventInterval, record });
            });
        }
    });
    const [entry] = installation.entries;
    const answers = Array.from(
        { length: streams },
        (_, index) => consumeStream(entry, { service, id: `9c41d07be2a3000${index}`, events, record }),
    );
    await sleep(termAfter);
    if (isTroubled) {
        record.write(`${entry.name} gets SIGTERM`);
        entry.signal("SIGTERM");
        void Promise.race([entry.exited.then(() => "exited"), sleep(grace).then(() => "")]).then(how => {
            record.write(how === "exited" ? `${entry.name} has exited` : `${entry.name} gets SIGKILL`);
            entry.signal("SIGKILL");
        });
    }
    return (await Promise.all(answers)).filter(broken => broken !== undefined);
});

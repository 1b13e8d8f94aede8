/** An entry's process is killed while streams without a length run. */
import { setTimeout as sleep } from "node:timers/promises";
import { desiredStateFor, runCase } from "../lib/installation.mjs";
import { consumeStream, serveStream } from "../lib/unframed.mjs";

const service = "drafting";

/** Number of streams, and the events of each: 30 events, one each 100 ms. */
const streams = 6;
const events = 30;
const eventInterval = 100;

/** When the entry is killed, after the streams were asked for. */
const killAfter = 1_500;

await runCase("review/4", async ({ record, isTroubled, install }) => {
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
    await sleep(killAfter);
    if (isTroubled) {
        record.write(`${entry.name} gets SIGKILL`);
        entry.signal("SIGKILL");
    }
    return (await Promise.all(answers)).filter(broken => broken !== undefined);
});

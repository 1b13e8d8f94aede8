/** A server breaks off a stream without a length by a reset; the second server that the entry asks answers 500. */
import { desiredStateFor, runCase } from "../lib/installation.mjs";
import { consumeStream, serveStream } from "../lib/unframed.mjs";

const service = "drafting";

/** Number of servers, of which the first one breaks off its streams. */
const servers = 6;

/** Number of streams, which run at the same time, and the events of each. */
const streams = 12;
const events = 20;
const eventInterval = 50;

/** Number of events that a broken-off stream has brought. */
const eventsBeforeReset = 8;

function serveError(server, request, response, record) {
    const id = request.headers["gullhall-attempt-id"];
    record.write(`${server.id} answers ${id}, from event ${request.headers["last-event-id"]} on, with 500`);
    response.writeHead(500, server.answerHeaders(request));
    response.end("the run failed");
}

await runCase("review/3", async ({ record, isTroubled, install }) => {
    const installation = install({ controls: 3, entries: 1 });
    const route = { service, "kind": "streaming", "gap-target-ms": 1000, "resumable": true, "attempts": 2 };
    await installation.start(desiredStateFor(1, [route]), async () => {
        for (let number = 0; number < servers; number++) {
            await installation.addServer(service, (server, request, response) => {
                record.write(`${server.id} runs ${request.headers["gullhall-attempt-id"]}`);
                if (request.headers["last-event-id"] === undefined) {
                    const resetAfter = isTroubled && number === 0 ? eventsBeforeReset : undefined;
                    void serveStream(server, request, response, { events, eventInterval, resetAfter, record });
                }
                else {
                    serveError(server, request, response, record);
                }
            });
        }
    });
    const [entry] = installation.entries;
    const broken = await Promise.all(Array.from({ length: streams }, (_, index) => {
        const id = `9c41d07be2a300${String(index).padStart(2, "0")}`;
        return consumeStream(entry, { service, id, events, record });
    }));
    return broken.filter(each => each !== undefined);
});

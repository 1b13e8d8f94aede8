import { createServer } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { ControlMessage, EntryMessage } from "../../../src/connection/hosted/linkMessages.js";
import { PresenceLink } from "../../../src/connection/hosted/presenceLink.js";
import { MessageConnection } from "../../../src/connection/messageConnection.js";
import { EventLog } from "../../../src/logEvent/eventLog.js";
import type { EndpointReading } from "../../../src/process/hosted/control/endpointLists.js";
import { SystemClock } from "../../../src/util/clock.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { SuspensionDetector } from "../../../src/util/suspensionDetector.js";
import { describe, it } from "../../describe.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";

/** Number of times that the state of the list is asked for. */
const questionCount = 60;

/** Number of questions after which a control process that answers none is asked no more. */
const maximumQuestions = 20;

const presence: ControlMessage = { kind: "presence", entries: [] };

/**
 * Asks another control process for the state of its list again and again.
 *
 * @param respond Messages with which the other control process responds to a question.
 */
async function ask(
    respond: (question: EntryMessage) => readonly ControlMessage[],
): Promise<{ readonly questions: number; readonly readings: readonly EndpointReading[]; }> {
    await using store = new DisposableStore();
    let questions = 0;
    const server = createServer(socket => {
        const connection = store.add(new MessageConnection(socket));
        void (async () => {
            for await (const received of connection.messages()) {
                questions++;
                respond(received as EntryMessage).forEach(message => {
                    connection.send(message);
                });
            }
        })();
    });
    store.defer(() => {
        server.close();
    });
    const clock = new SystemClock();
    const readings: EndpointReading[] = [];
    const link = new PresenceLink(await listen(server, "127.0.0.1:0"), {
        control: "control-1",
        clock,
        suspensionDetector: new SuspensionDetector(clock),
        eventLog: new EventLog("test", "hidden"),
        onPresence: () => undefined,
        onEndpoints: reading => readings.push(reading),
    });
    void link.run();
    for (let question = 0; question < questionCount; question++) {
        while (!link.isUp) {
            await sleep(5);
        }
        link.observe();
        await sleep(5);
    }
    link.close("the test has ended");
    return { questions, readings };
}

describe("PresenceLink", () => {
    // Guards against control processes of an earlier build that report all their entries at each question, without need.
    it("asks a control process that does not answer only a few times", async t => {
        const { questions } = await ask(() => [presence]);
        t.true(questions < maximumQuestions, `${questions} questions`);
    });

    it("reports the other control process's list again as long as it is current", async t => {
        const endpoints = [createEndpointRecord("a")];
        const { questions, readings } = await ask(question => {
            const number = question.kind === "observe" ? question.number ?? 0 : 0;
            const list: ControlMessage = { kind: "endpoints", age: 100, endpoints, revision: 1 };
            return [
                ...number === 1 ? [presence, list] : [],
                { kind: "listState", number, endpointList: { revision: 1, age: 100 } },
            ];
        });
        t.true(questions > questionCount);
        t.true(readings.length > questionCount / 2);
        const polledAt = readings.map(reading => reading.polledAt);
        t.deepEqual(polledAt, [...polledAt].sort((a, b) => a - b), "the list is known to be newer each time");
        t.true(readings.every(({ uncertainty }) => uncertainty >= 0));
    });
});

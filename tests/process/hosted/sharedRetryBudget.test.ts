import type { ServerResponse } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { describe, itSerially } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { HostedInstallation } from "./hostedInstallation.js";
import type { ReceivedCall } from "./hostedInstallation.js";

const entryCount = 30;

const callCount = 96;

/** Bound on the retries of all entries together, by the settings of the installation. */
const retryBound = 0.2 * callCount + 20;

/** Time after which the calls made at the start do not count any more, in milliseconds. */
const retryWindow = 10_000;

const document = documentOf(3, {
    routes: [{
        "name": "look-ups",
        "host": "calls.example",
        "path-prefix": "/look-ups/",
        "kind": "safe",
        "timeout-ms": 5_000,
        "service": "desk",
        "attempts": 2,
    }],
});

/** An installation with many entries, whose endpoints fail the first attempt of some calls. */
class FailingInstallation implements AsyncDisposable {
    /** Number of attempts by call. */
    readonly attempts = new Map<string, number>();

    private constructor(private readonly failsFirst: (callNumber: number) => boolean) {}

    private installation: HostedInstallation | undefined;
    private readonly entries: string[] = [];

    static async start(network: number, failsFirst: (callNumber: number) => boolean): Promise<FailingInstallation> {
        const failing = new FailingInstallation(failsFirst);
        const installation = await HostedInstallation.start(network, (call, response) => {
            failing.respond(call, response);
        }, 40);
        failing.installation = installation;
        await installation.submitUntilAccepted(document);
        failing.entries.push(installation.callerAddress);
        for (let index = 101; failing.entries.length < entryCount; index++) {
            failing.entries.push(await installation.startFurtherEntry(index));
        }
        for (const address of failing.entries) {
            while ((await installation.call("/look-ups/warm-up", {}, "", address)).status !== 200) {
                await sleep(50);
            }
        }
        await sleep(retryWindow);
        failing.attempts.clear();
        return failing;
    }

    /** Makes the calls at all entries in turn; returns their statuses. */
    async makeCalls(): Promise<readonly number[]> {
        const statuses: Promise<number>[] = [];
        for (let number = 0; number < callCount; number++) {
            const address = this.entries[number % this.entries.length];
            const headers = { "gullhall-attempt-id": `call-${number}` };
            statuses.push(
                this.installation?.call("/look-ups/a", headers, "", address).then(({ status }) => status)
                    ?? Promise.resolve(0),
            );
            await sleep(20);
        }
        return Promise.all(statuses);
    }

    get retries(): number {
        return [...this.attempts.values()].reduce((sum, attempts) => sum + attempts - 1, 0);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.installation?.[Symbol.asyncDispose]();
    }

    private respond({ headers }: ReceivedCall, response: ServerResponse): void {
        const id = String(headers["gullhall-attempt-id"]);
        const attempt = (this.attempts.get(id) ?? 0) + 1;
        this.attempts.set(id, attempt);
        response.statusCode = attempt === 1 && this.failsFirst(Number(id.split("-")[1])) ? 500 : 200;
        response.setHeader("gullhall-attempt-id", id);
        response.setHeader("gullhall-response-signature", "proof");
        response.end("answer");
    }
}

describe("hosted installation", () => {
    // Guards against retries that are refused at some of many entries although the budget of all is hardly used.
    itSerially("retries every call that needs it while the budget of 30 entries allows it", async t => {
        await using failing = await FailingInstallation.start(77, number => number % 4 === 0);
        const statuses = await failing.makeCalls();
        t.is(statuses.filter(status => status !== 200).length, 0);
        t.true(failing.retries <= retryBound);
    });

    // Guards against a budget that is left unused, or exceeded, when more calls need a retry than it allows.
    itSerially("uses the retry budget of 30 entries, and no more, when every call needs a retry", async t => {
        await using failing = await FailingInstallation.start(78, () => true);
        await failing.makeCalls();
        t.true(failing.retries <= retryBound, `${failing.retries} retries`);
        t.true(failing.retries >= retryBound / 2, `${failing.retries} retries`);
    });
});

import { expectedAnswer } from "../standIn/modelEngine/answerPlan.js";
import { promptText } from "../standIn/modelEngine/completionBody.js";
import type { Clock } from "../util/clock.js";
import { createKey } from "../util/createKey.js";
import { keyDigest } from "../util/keyDigest.js";
import type { ClassTimes } from "./classTimes.js";
import type { Cluster } from "./cluster.js";
import { quickstartManifest } from "./quickstartManifest.js";
import { OpenConnection, send } from "./tourClient.js";
import type { TourAnswer } from "./tourClient.js";
import type { TourTable } from "./tourTable.js";

/** Chat requests of each class, sent at once. */
const chatsPerClass = 8;

/** Classes of the chat requests. */
const chatClasses = ["drafts", "summaries"] as const;

/** Requests that teams pay for: the chats, one more on the open connection, and one booking. */
const billedRequests = chatsPerClass * chatClasses.length + 2;

/** Looks at usage before it counts as wrong. */
const usageLooks = 10;

/** Pause before a look at usage, in milliseconds. */
const usagePause = 100;

/** Idempotency key of the booking. */
const bookingKey = "place-17";

/** What a tour works with. */
export interface TourOptions {
    readonly cluster: Cluster;
    readonly table: TourTable;
    readonly times: ClassTimes;
    readonly clock: Clock;
}

/** The part of a usage window that the tour looks at. */
interface UsageSums {
    readonly totals: { readonly requests: string; };
}

/** Leads a newcomer through the whole path; each step becomes a line of the table. */
export class Tour {
    private readonly keys = [createKey(), createKey()] as const;
    private serviceAddress = "";
    private entries: readonly string[] = [];

    constructor(private readonly options: TourOptions) {}

    /** Takes every step. */
    async run(): Promise<void> {
        await this.applyManifest();
        await this.discover();
        for (const requestClass of chatClasses) {
            await this.chat(requestClass);
        }
        await this.book();
        await this.useUnknownKey();
        await this.useWithdrawnKey();
        await this.look();
    }

    private async applyManifest(): Promise<void> {
        const { cluster, table } = this.options;
        const names = ["engine-1", "engine-2"];
        const engineAddresses = await Promise.all(
            names.map(name => cluster.startStandIn("engine", name, { models: ["drafting"] })),
        );
        this.serviceAddress = await cluster.startStandIn("service", "bookings-1", {});
        const { keys, serviceAddress } = this;
        const manifest = quickstartManifest({ number: 1, keys, engineAddresses, serviceAddress });
        const file = await cluster.writeFile("manifest.json", manifest);
        await table.run(
            "gullhall apply --wait",
            () => cluster.operate("apply", file, "--wait"),
            answer => answer.includes("In force at every entry."),
        );
    }

    private async discover(): Promise<void> {
        const { cluster, table } = this.options;
        this.entries = await table.run("which entries to use", async () => {
            const answer = await send({ address: cluster.entryAddresses[0] ?? "", method: "GET", path: "/v1/entries" });
            const { entries } = JSON.parse(answer.text) as { readonly entries: { readonly address: string; }[]; };
            return entries.map(entry => entry.address);
        }, found => found.length === cluster.entries.length);
    }

    private async chat(requestClass: string): Promise<void> {
        await this.options.table.run(`${chatsPerClass} streamed chats, class ${requestClass}`, async () => {
            const chats = [...Array(chatsPerClass).keys()].map(index => this.chatOnce(requestClass, index));
            const whole = await Promise.all(chats);
            return `${whole.filter(Boolean).length} whole answers`;
        }, answer => answer === `${chatsPerClass} whole answers`);
    }

    /** @returns Whether the streamed answer is the one that the engine must give. */
    private async chatOnce(requestClass: string, index: number): Promise<boolean> {
        const { clock, times } = this.options;
        const content = `Draft a reply to parent ${index} (${requestClass}). [answer-tokens: 40]`;
        const messages = [{ role: "user", content }];
        const start = clock.now();
        const answer = await send({
            address: this.entryAt(index),
            method: "POST",
            path: "/v1/chat/completions",
            key: this.keys[0],
            body: { model: "drafting", stream: true, messages },
            headers: { "x-request-class": requestClass },
        });
        times.record(requestClass, clock.now() - start);
        return streamedText(answer) === expectedAnswer("drafting", promptText({ messages }));
    }

    private async book(): Promise<void> {
        const { table } = this.options;
        const booked = await table.run("booking", () => this.bookAt(0), ({ status }) => status === 200);
        await table.run(
            "the same booking at another entry",
            () => this.bookAt(1),
            ({ status, text }) => status === 200 && text === booked.text,
        );
        await table.run("bookings that the service ran", async () => {
            const record = await send({ address: this.serviceAddress, method: "GET", path: "/stand-in/record" });
            const { requests } = JSON.parse(record.text) as { readonly requests: { readonly target: string; }[]; };
            return requests.filter(({ target }) => target === "/bookings/places").length;
        }, runs => runs === 1);
    }

    private async bookAt(entry: number): Promise<TourAnswer> {
        const { clock, times } = this.options;
        const start = clock.now();
        const answer = await send({
            address: this.entryAt(entry),
            method: "POST",
            path: "/bookings/places",
            key: this.keys[1],
            body: { child: 17 },
            headers: { "idempotency-key": bookingKey },
        });
        times.record("bookings", clock.now() - start);
        return answer;
    }

    private async useUnknownKey(): Promise<void> {
        await this.options.table.run("chat with an unknown key", async () => {
            const call = { method: "POST", path: "/v1/chat/completions", key: createKey(), body: shortChat };
            return (await send({ address: this.entryAt(1), ...call })).status;
        }, status => status === 401);
    }

    private async useWithdrawnKey(): Promise<void> {
        const { cluster, table } = this.options;
        using connection = new OpenConnection();
        const [key] = this.keys;
        const chat = { address: this.entryAt(2), method: "POST", path: "/v1/chat/completions", key, body: shortChat };
        const before = await table.run(
            "chat on a connection that stays open",
            () => connection.send(chat),
            answer => answer.status === 200,
        );
        await table.run(
            "gullhall key withdraw --wait",
            () => cluster.operate("key", "withdraw", keyDigest(key), "--wait"),
            answer => answer.includes("In force at every entry."),
        );
        await table.run(
            "the withdrawn key on that connection",
            () => connection.send(chat),
            answer => answer.status === 401 && answer.localPort === before.localPort,
        );
    }

    private async look(): Promise<void> {
        const { cluster, table } = this.options;
        await table.run("gullhall status", async () => {
            const status = JSON.parse(await cluster.operate("status", "--json")) as {
                readonly members: readonly object[];
                readonly entries: readonly object[];
                readonly version: number;
            };
            return { members: status.members.length, entries: status.entries.length, version: status.version };
        }, ({ members, entries, version }) => members === 3 && entries === 3 && version === 2);
        await table.run("gullhall usage", () => this.billed(), requests => requests === billedRequests);
    }

    /** Requests that usage has counted; asked for again while some are still on their way. */
    private async billed(): Promise<number> {
        const { cluster, clock } = this.options;
        let requests = 0;
        for (let look = 0; look < usageLooks && requests < billedRequests; look++) {
            await clock.sleep(usagePause);
            const usage = JSON.parse(await cluster.operate("usage", "--json")) as {
                readonly open: readonly UsageSums[];
                readonly sealed: readonly UsageSums[];
            };
            const windows = [...usage.open, ...usage.sealed];
            requests = windows.reduce((sum, window) => sum + Number(window.totals.requests), 0);
        }
        return requests;
    }

    private entryAt(index: number): string {
        return this.entries[index % this.entries.length] ?? "";
    }
}

/** A chat whose content does not matter. */
const shortChat = { model: "drafting", messages: [{ role: "user", content: "Hello [answer-tokens: 2]" }] };

function streamedText(answer: TourAnswer): string {
    const events = answer.text.split("\n\n").filter(event => event.startsWith("data: {"));
    const chunks = events.map(event => JSON.parse(event.slice(6)) as { choices: { delta: { content?: string; }; }[]; });
    return chunks.map(chunk => chunk.choices[0]?.delta.content ?? "").join("");
}

import { promptText } from "../standIn/modelEngine/completionBody.js";
import { expectedCompletion } from "../standIn/modelEngine/deterministicCompletion.js";
import type { Clock } from "../util/clock.js";
import { generateKey } from "../util/generateKey.js";
import { keyDigest } from "../util/keyDigest.js";
import type { ClassLatencies } from "./classLatencies.js";
import type { Cluster } from "./cluster.js";
import { KeepAliveClient, sendRequest } from "./quickstartClient.js";
import type { TextResponse } from "./quickstartClient.js";
import { createQuickstartManifest } from "./quickstartManifest.js";
import type { StepTable } from "./stepTable.js";

/** Number of chat requests of each class; they are sent concurrently. */
const chatsPerClass = 8;

/** Request classes of the chat requests. */
const chatClasses = ["drafts", "summaries"] as const;

/** Number of requests that are billed: the chats, one more on the keep-alive connection, and one booking. */
const expectedBilledRequests = chatsPerClass * chatClasses.length + 2;

/** Maximum number of usage polls before the step fails. */
const maximumUsagePolls = 10;

/** Delay before each usage poll. */
const usagePollMilliseconds = 100;

/** Idempotency key of the booking. */
const bookingIdempotencyKey = "place-17";

/** Dependencies of {@link QuickstartScenario}. */
export interface QuickstartScenarioOptions {
    readonly cluster: Cluster;
    readonly table: StepTable;
    readonly latencies: ClassLatencies;
    readonly clock: Clock;
}

/** The fields of a usage window that the quickstart reads. */
interface UsageWindowTotals {
    readonly totals: { readonly requests: string; };
}

/**
 * Applies a manifest, discovers the entries, sends chats and bookings, checks that unknown and withdrawn keys are
 * refused, and reads status and usage. Each step becomes a line of the table.
 */
export class QuickstartScenario {
    private readonly keys = [generateKey(), generateKey()] as const;
    private serviceAddress = "";
    private entries: readonly string[] = [];

    constructor(private readonly options: QuickstartScenarioOptions) {}

    /** Runs all steps in order; rejects at the first one that throws. */
    async run(): Promise<void> {
        await this.applyManifest();
        await this.discoverEntries();
        for (const requestClass of chatClasses) {
            await this.runChats(requestClass);
        }
        await this.runBookings();
        await this.useUnknownKey();
        await this.useWithdrawnKey();
        await this.checkStatusAndUsage();
    }

    private async applyManifest(): Promise<void> {
        const { cluster, table } = this.options;
        const names = ["engine-1", "engine-2"];
        const engineAddresses = await Promise.all(
            names.map(name => cluster.startStandIn("engine", name, { models: ["drafting"] })),
        );
        this.serviceAddress = await cluster.startStandIn("service", "bookings-1", {});
        const { keys, serviceAddress } = this;
        const manifest = createQuickstartManifest({ number: 1, keys, engineAddresses, serviceAddress });
        const file = await cluster.writeFile("manifest.json", manifest);
        await table.run(
            "gullhall apply --wait",
            () => cluster.runOperatorCommand("apply", file, "--wait"),
            output => output.includes("In force at every entry."),
        );
    }

    private async discoverEntries(): Promise<void> {
        const { cluster, table } = this.options;
        this.entries = await table.run("discover the entries", async () => {
            const response = await sendRequest({
                address: cluster.entryAddresses[0] ?? "",
                method: "GET",
                path: "/v1/entries",
            });
            const { entries } = JSON.parse(response.text) as { readonly entries: { readonly address: string; }[]; };
            return entries.map(entry => entry.address);
        }, addresses => addresses.length === cluster.entries.length);
    }

    private async runChats(requestClass: string): Promise<void> {
        await this.options.table.run(`${chatsPerClass} streamed chats, class ${requestClass}`, async () => {
            const chats = [...Array(chatsPerClass).keys()].map(index => this.runChat(requestClass, index));
            const areComplete = await Promise.all(chats);
            return `${areComplete.filter(Boolean).length} complete responses`;
        }, result => result === `${chatsPerClass} complete responses`);
    }

    /** @returns Whether the streamed text equals the text that the engine generates for this prompt. */
    private async runChat(requestClass: string, index: number): Promise<boolean> {
        const { clock, latencies } = this.options;
        const content = `Draft a reply to parent ${index} (${requestClass}). [answer-tokens: 40]`;
        const messages = [{ role: "user", content }];
        const start = clock.now();
        const response = await sendRequest({
            address: this.entryAt(index),
            method: "POST",
            path: "/v1/chat/completions",
            key: this.keys[0],
            body: { model: "drafting", stream: true, messages },
            headers: { "x-request-class": requestClass },
        });
        latencies.record(requestClass, clock.now() - start);
        return collectStreamedText(response) === expectedCompletion("drafting", promptText({ messages }));
    }

    private async runBookings(): Promise<void> {
        const { table } = this.options;
        const firstBooking = await table.run("booking", () => this.sendBooking(0), ({ status }) => status === 200);
        await table.run(
            "the same booking at another entry",
            () => this.sendBooking(1),
            ({ status, text }) => status === 200 && text === firstBooking.text,
        );
        await table.run("bookings that the service executed", async () => {
            const record = await sendRequest({ address: this.serviceAddress, method: "GET", path: "/stand-in/record" });
            const { requests } = JSON.parse(record.text) as { readonly requests: { readonly target: string; }[]; };
            return requests.filter(({ target }) => target === "/bookings/places").length;
        }, executions => executions === 1);
    }

    private async sendBooking(entry: number): Promise<TextResponse> {
        const { clock, latencies } = this.options;
        const start = clock.now();
        const response = await sendRequest({
            address: this.entryAt(entry),
            method: "POST",
            path: "/bookings/places",
            key: this.keys[1],
            body: { child: 17 },
            headers: { "idempotency-key": bookingIdempotencyKey },
        });
        latencies.record("bookings", clock.now() - start);
        return response;
    }

    private async useUnknownKey(): Promise<void> {
        await this.options.table.run("chat with an unknown key", async () => {
            const request = { method: "POST", path: "/v1/chat/completions", key: generateKey(), body: minimalChat };
            return (await sendRequest({ address: this.entryAt(1), ...request })).status;
        }, status => status === 401);
    }

    private async useWithdrawnKey(): Promise<void> {
        const { cluster, table } = this.options;
        using client = new KeepAliveClient();
        const [key] = this.keys;
        const chat = { address: this.entryAt(2), method: "POST", path: "/v1/chat/completions", key, body: minimalChat };
        const before = await table.run(
            "chat on a keep-alive connection",
            () => client.send(chat),
            response => response.status === 200,
        );
        await table.run(
            "gullhall key withdraw --wait",
            () => cluster.runOperatorCommand("key", "withdraw", keyDigest(key), "--wait"),
            output => output.includes("In force at every entry."),
        );
        await table.run(
            "withdrawn key on the same connection",
            () => client.send(chat),
            response => response.status === 401 && response.localPort === before.localPort,
        );
    }

    private async checkStatusAndUsage(): Promise<void> {
        const { cluster, table } = this.options;
        await table.run("gullhall status", async () => {
            const status = JSON.parse(await cluster.runOperatorCommand("status", "--json")) as {
                readonly members: readonly object[];
                readonly entries: readonly object[];
                readonly version: number;
            };
            return { members: status.members.length, entries: status.entries.length, version: status.version };
        }, ({ members, entries, version }) => members === 3 && entries === 3 && version === 2);
        await table.run(
            "gullhall usage",
            () => this.pollBilledRequests(),
            requests => requests === expectedBilledRequests,
        );
    }

    /**
     * Polls the usage until it contains all billed requests, because entries report it to the control processes with a
     * delay.
     *
     * @returns Number of billed requests at the last poll.
     */
    private async pollBilledRequests(): Promise<number> {
        const { cluster, clock } = this.options;
        let requests = 0;
        for (let poll = 0; poll < maximumUsagePolls && requests < expectedBilledRequests; poll++) {
            await clock.sleep(usagePollMilliseconds);
            const usage = JSON.parse(await cluster.runOperatorCommand("usage", "--json")) as {
                readonly open: readonly UsageWindowTotals[];
                readonly sealed: readonly UsageWindowTotals[];
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

/** Body of a minimal chat request with two output tokens. */
const minimalChat = { model: "drafting", messages: [{ role: "user", content: "Hello [answer-tokens: 2]" }] };

function collectStreamedText(response: TextResponse): string {
    const events = response.text.split("\n\n").filter(event => event.startsWith("data: {"));
    const chunks = events.map(event => JSON.parse(event.slice(6)) as { choices: { delta: { content?: string; }; }[]; });
    return chunks.map(chunk => chunk.choices[0]?.delta.content ?? "").join("");
}

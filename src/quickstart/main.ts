/** The first tour: the whole path on this machine, with real programs and stand-ins for the outside systems. */
import { httpCall } from "../connection/httpCall.js";
import type { HttpCallAnswer } from "../connection/httpCall.js";
import { expectedAnswer } from "../standIn/modelEngine/answerPlan.js";
import { promptText } from "../standIn/modelEngine/completionBody.js";
import { SystemClock } from "../util/clock.js";
import { createKey } from "../util/createKey.js";
import { keyDigest } from "../util/keyDigest.js";
import { Cluster } from "./cluster.js";
import { quickstartManifest } from "./quickstartManifest.js";
import { TourTable } from "./tourTable.js";

/** Longest time for one call, in milliseconds. */
const callTimeout = 15_000;

const clock = new SystemClock();
const table = new TourTable(clock);
await using cluster = new Cluster();
await cluster.start();

const keys = [createKey(), createKey()] as const;
const [firstKey, secondKey] = keys;
const engineAddresses = await Promise.all(
    ["engine-1", "engine-2"].map(name => cluster.startStandIn("engine", name, { models: ["drafting"] })),
);
const serviceAddress = await cluster.startStandIn("service", "bookings-1", {});
const manifest = quickstartManifest({ number: 1, keys, engineAddresses, serviceAddress });
const file = await cluster.writeFile("manifest.json", manifest);

await table.run("apply the manifest", async () => {
    await cluster.operate("apply", file, "--wait");
    return "accepted";
}, answer => answer === "accepted");

const entries = await table.run("ask which entries to use", () => discover(), found => found.length === 3);

for (const requestClass of ["drafts", "summaries"]) {
    await table.run(
        `streamed chat, class ${requestClass}`,
        () => chat(entries[0], firstKey, requestClass),
        whole => whole,
    );
}
await table.run("booking", () => book(entries[0], secondKey), ({ status }) => status === 200);
await table.run("chat with an unknown key", () => status(entries[1], createKey()), found => found === 401);
await cluster.operate("key", "withdraw", keyDigest(firstKey), "--wait");
await table.run("chat with a withdrawn key", () => status(entries[2], firstKey), found => found === 401);

table.print();
process.exitCode = table.allAsExpected ? 0 : 1;

async function discover(): Promise<readonly string[]> {
    const answer = await send(cluster.entryAddresses[0], "GET", "/v1/entries", undefined, "");
    const listed = JSON.parse(answer.body.toString("utf8")) as { readonly entries: { readonly address: string; }[]; };
    return listed.entries.map(entry => entry.address);
}

async function chat(address: string | undefined, key: string, requestClass: string): Promise<boolean> {
    const messages = [{ role: "user", content: `Draft a reply to a parent (${requestClass}). [answer-tokens: 40]` }];
    const body = JSON.stringify({ model: "drafting", stream: true, messages });
    const answer = await send(address, "POST", "/v1/chat/completions", body, key, { "x-request-class": requestClass });
    return streamedText(answer) === expectedAnswer("drafting", promptText({ messages }));
}

function streamedText(answer: HttpCallAnswer): string {
    const events = answer.body.toString("utf8").split("\n\n").filter(event => event.startsWith("data: {"));
    const chunks = events.map(event => JSON.parse(event.slice(6)) as { choices: { delta: { content?: string; }; }[]; });
    return chunks.map(chunk => chunk.choices[0]?.delta.content ?? "").join("");
}

function book(address: string | undefined, key: string): Promise<HttpCallAnswer> {
    return send(address, "POST", "/bookings/places", JSON.stringify({ child: 17 }), key, {
        "idempotency-key": "place-17",
    });
}

async function status(address: string | undefined, key: string): Promise<number> {
    const body = JSON.stringify({ model: "drafting", messages: [{ role: "user", content: "Hello" }] });
    return (await send(address, "POST", "/v1/chat/completions", body, key)).status;
}

async function send(
    address: string | undefined,
    method: string,
    path: string,
    body: string | undefined,
    key: string,
    headers: Readonly<Record<string, string>> = {},
): Promise<HttpCallAnswer> {
    const answer = await httpCall({
        address: address ?? "",
        method,
        path,
        headers: { "content-type": "application/json", authorization: `Bearer ${key}`, ...headers },
        ...(body === undefined ? {} : { body }),
        timeout: callTimeout,
    });
    if (answer.err) {
        throw new Error(`${method} ${path}: ${answer.val}`);
    }
    return answer.val;
}

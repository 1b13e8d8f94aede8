import { createServer } from "node:http";
import { httpCall } from "../../../src/connection/httpCall.js";
import type { HttpCallResponse } from "../../../src/connection/httpCall.js";
import { GrantSource } from "../../../src/process/hosted/entry/grantSource.js";
import type { GrantDecision } from "../../../src/process/hosted/grantDecision.js";
import { DisposableStore } from "../../../src/util/disposableStore.js";
import { listen } from "../../../src/util/socketAddress.js";
import { formatRequest, openConnection } from "../../connection/leavingCaller.js";
import { describe, it } from "../../describe.js";
import { documentOf } from "../../platform/testDocument.js";
import { readAt } from "../../process/hosted/entry/listReadings.js";
import { createEndpointRecord } from "../../process/hosted/entry/testEndpoints.js";
import { CallServer } from "./callServer.js";

const route = {
    "name": "look-ups",
    "host": "calls.example",
    "path-prefix": "/look-ups/",
    "kind": "safe",
    "timeout-ms": 4_000,
    "service": "desk",
    "attempts": 2,
};

const headers = { "host": "calls.example", "api-key": "key-1", "gullhall-attempt-id": "call-1" };

/** Decides by the test's function, and records which endpoints were asked for. */
class ScriptedGrants extends GrantSource {
    readonly requested: string[] = [];

    constructor(private readonly decide: (endpoint: string) => Partial<GrantDecision>) {
        super();
    }

    override get leaderId(): string {
        return "leader";
    }

    override requestRetry(): Promise<undefined> {
        return Promise.resolve(undefined);
    }

    override requestTrial(): Promise<boolean> {
        return Promise.resolve(false);
    }

    override requestGrant(endpoint: string): Promise<GrantDecision> {
        this.requested.push(endpoint);
        return Promise.resolve({ isGranted: false, delay: 0, contenders: 1, ...this.decide(endpoint) });
    }
}

/** An entry with endpoints e0, e1 and so on that respond with the given statuses; those listed are limited. */
class LimitedEntry implements AsyncDisposable {
    readonly received: string[] = [];
    private readonly store = new DisposableStore();

    private constructor(private server: CallServer | undefined) {}

    static async start(
        statuses: readonly number[],
        limited: readonly string[],
        grants: GrantSource,
    ): Promise<LimitedEntry> {
        const entry = new LimitedEntry(undefined);
        const endpoint = createServer((request, response) => {
            request.resume();
            const id = String(request.headers["gullhall-target-instance"]);
            entry.received.push(id);
            response.setHeader("gullhall-attempt-id", String(request.headers["gullhall-attempt-id"]));
            response.setHeader("gullhall-response-signature", "proof");
            response.writeHead(statuses[Number(id.slice(1))] ?? 500).end("answer");
        });
        entry.store.defer(() => {
            endpoint.close();
            endpoint.closeAllConnections();
        });
        const address = await listen(endpoint, "127.0.0.1:0");
        const records = Array.from(
            statuses.keys(),
            index => createEndpointRecord(`e${index}`, { service: "desk", address }),
        );
        entry.server = entry.store.add(await CallServer.start(documentOf(3, { routes: [route] }), records, grants));
        entry.callServer.givePermit();
        const { clock, context: { rateLimits } } = entry.callServer;
        for (const id of limited) {
            rateLimits.recordStatement(id, { kind: "limited", callsPerSecond: 1, isAmbiguous: false }, clock.now());
        }
        return entry;
    }

    get callServer(): CallServer {
        if (this.server === undefined) {
            throw new Error("The entry has not been started.");
        }
        return this.server;
    }

    async call(): Promise<HttpCallResponse> {
        const result = await httpCall({
            address: this.callServer.callerAddress,
            method: "POST",
            path: "/look-ups/a",
            headers: { ...headers, "gullhall-deadline-remaining": "4000" },
            timeout: 10_000,
        });
        return result.unwrap();
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.store.dispose();
    }
}

describe("a call to endpoints with rate limits", () => {
    it("goes to another endpoint if the leader denies it", async t => {
        const grants = new ScriptedGrants(() => ({ delay: 800 }));
        await using entry = await LimitedEntry.start([200, 200], ["e0"], grants);
        t.is((await entry.call()).status, 200);
        t.deepEqual(entry.received, ["e1"]);
    });

    // Guards against refusals while an endpoint without a limit has room.
    it("goes to an endpoint without a limit after any number of denials", async t => {
        const grants = new ScriptedGrants(() => ({ delay: 800 }));
        const limited = ["e0", "e1", "e2", "e3", "e4", "e5"];
        await using entry = await LimitedEntry.start([200, 200, 200, 200, 200, 200, 200], limited, grants);
        t.is((await entry.call()).status, 200);
        t.deepEqual(entry.received, ["e6"]);
    });

    // Guards against second attempts that no leader counts.
    it("needs a grant for its second attempt too", async t => {
        const grants = new ScriptedGrants(() => ({ isGranted: true }));
        await using entry = await LimitedEntry.start([500, 200], ["e1"], grants);
        t.is((await entry.call()).status, 200);
        t.deepEqual(entry.received, ["e0", "e1"]);
        t.deepEqual(grants.requested, ["e1"]);
    });

    it("forwards the failure of its first attempt if the second one is denied", async t => {
        const grants = new ScriptedGrants(() => ({ delay: 3_000 }));
        await using entry = await LimitedEntry.start([500, 200], ["e1"], grants);
        t.is((await entry.call()).status, 500);
        t.deepEqual(entry.received, ["e0"]);
    });

    it("is refused with the earliest time at which an endpoint can take it", async t => {
        const grants = new ScriptedGrants(endpoint => ({ delay: endpoint === "e0" ? 9_000 : 5_000 }));
        await using entry = await LimitedEntry.start([200, 200], ["e0", "e1"], grants);
        const { status, headers: responseHeaders } = await entry.call();
        t.is(status, 503);
        const retryAfter = Number(responseHeaders["retry-after"]);
        t.true(retryAfter > 4.5 && retryAfter <= 10, String(retryAfter));
        t.deepEqual(entry.received, []);
    });

    it("waits for a grant in advance if no endpoint can take it now", async t => {
        let requests = 0;
        const grants = new ScriptedGrants(() => ({ isGranted: requests++ > 0, delay: 200 }));
        await using entry = await LimitedEntry.start([200], ["e0"], grants);
        t.is((await entry.call()).status, 200);
        t.is(grants.requested.length, 2);
    });

    // Guards against calls that are sent after their callers left during the wait for a grant.
    it("is not sent if its caller leaves while it waits for a grant", async t => {
        await using store = new DisposableStore();
        const grants = new ScriptedGrants(() => ({ isGranted: true, delay: 300 }));
        const entry = store.add(await LimitedEntry.start([200], ["e0"], grants));
        const caller = await openConnection(entry.callServer.callerAddress);
        caller.write(formatRequest("POST", "/look-ups/a", headers));
        while (grants.requested.length === 0) {
            await entry.callServer.clock.sleep(5);
        }
        caller.destroy();
        await entry.callServer.clock.sleep(600);
        t.deepEqual(entry.received, []);
    });

    // Guards against keys that work on after their withdrawal for calls that wait.
    it("is refused if its key is withdrawn while it waits for a grant", async t => {
        const grants = new ScriptedGrants(() => {
            entry.callServer.applyConfiguration(documentOf(4, { routes: [route], tenants: [] }), 4);
            return { isGranted: true, delay: 100 };
        });
        await using entry = await LimitedEntry.start([200], ["e0"], grants);
        t.is((await entry.call()).status, 401);
        t.deepEqual(entry.received, []);
    });

    it("is not sent to an endpoint that begins to leave while it waits for a grant", async t => {
        const grants = new ScriptedGrants(() => {
            const { context, clock } = entry.callServer;
            context.fleet.applyList([], readAt(clock.now()), clock.now());
            return { isGranted: true, delay: 100 };
        });
        await using entry = await LimitedEntry.start([200], ["e0"], grants);
        t.is((await entry.call()).status, 503);
        t.deepEqual(entry.received, []);
    });
});

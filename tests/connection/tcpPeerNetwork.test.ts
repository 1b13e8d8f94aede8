import type { ExecutionContext } from "ava";
import { on, once } from "node:events";
import { connect, createServer } from "node:net";
import { encodeFrame } from "../../src/connection/frameCodec.js";
import { helloFrame } from "../../src/connection/peerHello.js";
import type { PeerRequest, PeerResponse } from "../../src/connection/peerMessage.js";
import { PeerRequestHandler } from "../../src/connection/peerNetwork.js";
import type { PeerSecuritySettings } from "../../src/connection/peerSecurity.js";
import { TcpPeerNetwork } from "../../src/connection/tcpPeerNetwork.js";
import { listen as listenOn } from "../../src/util/socketAddress.js";
import { describe, it } from "../describe.js";
import { RecordingEventLog } from "./recordingEventLog.js";

const plain: PeerSecuritySettings = { kind: "plainOnLoopback" };
const ownHello = { cluster: "test", memberId: "client" };
const request: PeerRequest = { kind: "takeLead", group: "main", from: "client", to: "server", term: 7 };

/** Longest wait for an answer, in milliseconds; it only bounds a failing test. */
const timeout = 3000;

function keysOf(name: string, authority: string): PeerSecuritySettings {
    const folder = "tests/connection/keys";
    return {
        kind: "mutualTls",
        keyFile: `${folder}/${name}.key.pem`,
        certificateFile: `${folder}/${name}.pem`,
        authorityFile: `${folder}/${authority}.pem`,
    };
}

/** Accepts each lead that is offered in term 7. */
class SeventhTermHandler extends PeerRequestHandler {
    override async handle(received: PeerRequest): Promise<PeerResponse> {
        return Promise.resolve({ kind: "takeLead", accepted: received.kind === "takeLead" && received.term === 7 });
    }
}

async function listen(events: RecordingEventLog, security = plain, cluster = "test"): Promise<TcpPeerNetwork> {
    const identity = { cluster, memberId: "server" };
    const network = (await TcpPeerNetwork.listen({ address: "127.0.0.1:0", identity, security, events })).unwrap();
    network.register("main", new SeventhTermHandler());
    return network;
}

/** Sends raw bytes to a server, and returns the codes under which it refused them once it closed the connection. */
async function codesFor(bytes: Buffer): Promise<readonly string[]> {
    const events = new RecordingEventLog();
    const server = await listen(events);
    const socket = connect(server.port, "127.0.0.1");
    socket.resume();
    socket.on("error", () => undefined);
    socket.write(bytes);
    await once(socket, "close");
    await server.close();
    return events.codes;
}

/** Asks a server from a client, each with its own proof. */
async function askBetween(
    server: PeerSecuritySettings,
    client: PeerSecuritySettings,
    clientCluster = "test",
): Promise<{ readonly response: PeerResponse | undefined; readonly serverCodes: readonly string[]; }> {
    const events = new RecordingEventLog();
    const serving = await listen(events, server);
    const asking = await listen(new RecordingEventLog(), client, clientCluster);
    const response = await asking.request(`127.0.0.1:${serving.port}`, request, timeout);
    await asking.close();
    await serving.close();
    return { response, serverCodes: events.codes };
}

async function answers(t: ExecutionContext, security: PeerSecuritySettings): Promise<void> {
    const { response } = await askBetween(security, security);
    t.deepEqual(response, { kind: "takeLead", accepted: true });
}

describe("TcpPeerNetwork", () => {
    describe("request", () => {
        it("is answered over a plain loopback connection", async t => answers(t, plain));

        it("is answered over mutual TLS", async t => answers(t, keysOf("member", "authority")));

        it("is not answered for another authority's certificate", async t => {
            const { response } = await askBetween(keysOf("member", "authority"), keysOf("stranger", "authority"));
            t.is(response, undefined);
        });

        it("is not sent to a server of another authority", async t => {
            const { response } = await askBetween(keysOf("stranger", "authority"), keysOf("member", "authority"));
            t.is(response, undefined);
        });

        it("is not answered without a certificate", async t => {
            t.is((await askBetween(keysOf("member", "authority"), plain)).response, undefined);
        });

        it("is refused for another cluster", async t => {
            const { response, serverCodes } = await askBetween(plain, plain, "other");
            t.is(response, undefined);
            t.deepEqual(serverCodes, ["peerClusterMismatch"]);
        });
    });

    describe("connection", () => {
        it("is replaced when the peer owes answers for too long", async t => {
            const silent = createServer(socket => {
                socket.on("error", () => undefined);
                socket.write(encodeFrame(helloFrame({ cluster: "test", memberId: "silent" })));
            });
            const address = await listenOn(silent, "127.0.0.1:0");
            const asking = await listen(new RecordingEventLog());
            const accepted = on(silent, "connection");
            const asker = setInterval(() => {
                void asking.request(address, request, 100);
            }, 50);
            await accepted.next();
            t.false((await accepted.next()).done);
            clearInterval(asker);
            await asking.close();
            silent.close();
        });
    });

    describe("listen", () => {
        it("refuses a plain address beyond loopback unless the settings allow it by name", async t => {
            const identity = { cluster: "test", memberId: "server" };
            const options = { address: "0.0.0.0:0", identity, security: plain, events: new RecordingEventLog() };
            const refused = await TcpPeerNetwork.listen(options);
            t.is(refused.err ? refused.val.code : undefined, "peerPlainRefused");
        });

        it("refuses key files that cannot be read", async t => {
            const identity = { cluster: "test", memberId: "server" };
            const security = keysOf("missing", "authority");
            const options = { address: "127.0.0.1:0", identity, security, events: new RecordingEventLog() };
            const refused = await TcpPeerNetwork.listen(options);
            t.is(refused.err ? refused.val.code : undefined, "peerKeysUnreadable");
        });
    });

    describe("accepted connection", () => {
        const hello = encodeFrame(helloFrame(ownHello));
        const cases: readonly (readonly [string, Buffer, string])[] = [
            ["a frame of one gigabyte", Buffer.from([0x40, 0, 0, 0]), "frameTooLarge"],
            ["bytes that are no CBOR", Buffer.from([0, 0, 0, 2, 0x5f, 0xff, 0xff]), "frameMalformed"],
            ["a request before the hello", encodeFrame({ kind: "request", id: 1, request }), "peerHelloMissing"],
            ["another protocol version", encodeFrame({ ...helloFrame(ownHello), protocol: 99 }), "peerVersionMismatch"],
            ["an unknown message", Buffer.concat([hello, encodeFrame({ kind: "surprise" })]), "peerMessageInvalid"],
            [
                "a malformed request",
                Buffer.concat([hello, encodeFrame({ kind: "request", id: 1, request: { ...request, term: -1 } })]),
                "peerMessageInvalid",
            ],
        ];
        for (const [title, bytes, code] of cases) {
            it(`is closed for ${title}`, async t => {
                t.deepEqual(await codesFor(bytes), [code]);
            });
        }
    });
});

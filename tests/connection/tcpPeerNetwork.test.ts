import type { ExecutionContext } from "ava";
import { on, once } from "node:events";
import { connect, createServer } from "node:net";
import { encodeFrame } from "../../src/connection/frameCodec.js";
import { createHelloFrame } from "../../src/connection/peerHello.js";
import type { PeerRequest, PeerResponse } from "../../src/connection/peerMessage.js";
import { PeerRequestHandler } from "../../src/connection/peerNetwork.js";
import type { PeerSecuritySettings } from "../../src/connection/peerSecurity.js";
import { TcpPeerNetwork } from "../../src/connection/tcpPeerNetwork.js";
import { listen as listenOn } from "../../src/util/socketAddress.js";
import { describe, it } from "../describe.js";
import { RecordingEventLog } from "./recordingEventLog.js";

const plainSecurity: PeerSecuritySettings = { kind: "plainOnLoopback" };
const clientIdentity = { cluster: "test", memberId: "client" };
const request: PeerRequest = { kind: "takeLead", group: "main", from: "client", to: "server", term: 7 };

/** Timeout of a request; reached only if a test fails. */
const requestTimeoutMilliseconds = 3000;

function mutualTlsSettings(name: string, authority: string): PeerSecuritySettings {
    const folder = "tests/connection/keys";
    return {
        kind: "mutualTls",
        keyFile: `${folder}/${name}.key.pem`,
        certificateFile: `${folder}/${name}.pem`,
        authorityFile: `${folder}/${authority}.pem`,
    };
}

/** Accepts `takeLead` requests of term 7. */
class TermSevenHandler extends PeerRequestHandler {
    override async handle(received: PeerRequest): Promise<PeerResponse> {
        return Promise.resolve({ kind: "takeLead", accepted: received.kind === "takeLead" && received.term === 7 });
    }
}

async function listen(events: RecordingEventLog, security = plainSecurity, cluster = "test"): Promise<TcpPeerNetwork> {
    const identity = { cluster, memberId: "server" };
    const network = (await TcpPeerNetwork.listen({ address: "127.0.0.1:0", identity, security, events })).unwrap();
    network.register("main", new TermSevenHandler());
    return network;
}

/** Sends raw bytes to a server; returns the result codes that it logged until it closed the connection. */
async function refusalCodesFor(bytes: Buffer): Promise<readonly string[]> {
    const events = new RecordingEventLog();
    const server = await listen(events);
    const socket = connect(server.port, "127.0.0.1");
    socket.resume();
    socket.on("error", () => undefined);
    socket.write(bytes);
    await once(socket, "close");
    await server.close();
    return events.refusalCodes;
}

/** Sends a request from a client to a server, each with its own security settings. */
async function requestBetween(
    server: PeerSecuritySettings,
    client: PeerSecuritySettings,
    clientCluster = "test",
): Promise<{ readonly response: PeerResponse | undefined; readonly serverCodes: readonly string[]; }> {
    const events = new RecordingEventLog();
    const serverNetwork = await listen(events, server);
    const clientNetwork = await listen(new RecordingEventLog(), client, clientCluster);
    const response = await clientNetwork.request(
        `127.0.0.1:${serverNetwork.port}`,
        request,
        requestTimeoutMilliseconds,
    );
    await clientNetwork.close();
    await serverNetwork.close();
    return { response, serverCodes: events.refusalCodes };
}

async function assertResponse(t: ExecutionContext, security: PeerSecuritySettings): Promise<void> {
    const { response } = await requestBetween(security, security);
    t.deepEqual(response, { kind: "takeLead", accepted: true });
}

describe("TcpPeerNetwork", () => {
    describe("request", () => {
        it("gets a response over a plain loopback connection", async t => assertResponse(t, plainSecurity));

        it("gets a response over mutual TLS", async t => assertResponse(t, mutualTlsSettings("member", "authority")));

        it("gets no response with a certificate of another authority", async t => {
            const { response } = await requestBetween(
                mutualTlsSettings("member", "authority"),
                mutualTlsSettings("stranger", "authority"),
            );
            t.is(response, undefined);
        });

        it("is not sent to a server with a certificate of another authority", async t => {
            const { response } = await requestBetween(
                mutualTlsSettings("stranger", "authority"),
                mutualTlsSettings("member", "authority"),
            );
            t.is(response, undefined);
        });

        it("gets no response without a certificate", async t => {
            t.is((await requestBetween(mutualTlsSettings("member", "authority"), plainSecurity)).response, undefined);
        });

        it("is refused by a member of another cluster", async t => {
            const { response, serverCodes } = await requestBetween(plainSecurity, plainSecurity, "other");
            t.is(response, undefined);
            t.deepEqual(serverCodes, ["peerClusterMismatch"]);
        });
    });

    describe("connection", () => {
        it("is replaced when the peer stays silent for too long with requests unanswered", async t => {
            const silentServer = createServer(socket => {
                socket.on("error", () => undefined);
                socket.write(encodeFrame(createHelloFrame({ cluster: "test", memberId: "silent" })));
            });
            const address = await listenOn(silentServer, "127.0.0.1:0");
            const client = await listen(new RecordingEventLog());
            const accepted = on(silentServer, "connection");
            const requestTimer = setInterval(() => {
                void client.request(address, request, 100);
            }, 50);
            await accepted.next();
            t.false((await accepted.next()).done);
            clearInterval(requestTimer);
            await client.close();
            silentServer.close();
        });
    });

    describe("listen", () => {
        it("refuses a plain address other than loopback", async t => {
            const identity = { cluster: "test", memberId: "server" };
            const options = {
                address: "0.0.0.0:0",
                identity,
                security: plainSecurity,
                events: new RecordingEventLog(),
            };
            const refused = await TcpPeerNetwork.listen(options);
            t.is(refused.err ? refused.val.code : undefined, "peerPlainRefused");
        });

        it("fails if the key files cannot be read", async t => {
            const identity = { cluster: "test", memberId: "server" };
            const security = mutualTlsSettings("missing", "authority");
            const options = { address: "127.0.0.1:0", identity, security, events: new RecordingEventLog() };
            const refused = await TcpPeerNetwork.listen(options);
            t.is(refused.err ? refused.val.code : undefined, "peerKeysUnreadable");
        });
    });

    describe("accepted connection", () => {
        const hello = encodeFrame(createHelloFrame(clientIdentity));
        const cases: readonly (readonly [string, Buffer, string])[] = [
            ["a frame of one gigabyte", Buffer.from([0x40, 0, 0, 0]), "frameTooLarge"],
            ["bytes that are not CBOR", Buffer.from([0, 0, 0, 2, 0x5f, 0xff, 0xff]), "frameMalformed"],
            ["a request before the hello", encodeFrame({ kind: "request", id: 1, request }), "peerHelloMissing"],
            [
                "another protocol version",
                encodeFrame({ ...createHelloFrame(clientIdentity), protocol: 99 }),
                "peerVersionMismatch",
            ],
            ["an unknown message", Buffer.concat([hello, encodeFrame({ kind: "surprise" })]), "peerMessageInvalid"],
            [
                "a malformed request",
                Buffer.concat([hello, encodeFrame({ kind: "request", id: 1, request: { ...request, term: -1 } })]),
                "peerMessageInvalid",
            ],
        ];
        for (const [title, bytes, code] of cases) {
            it(`is closed for ${title}`, async t => {
                t.deepEqual(await refusalCodesFor(bytes), [code]);
            });
        }
    });
});

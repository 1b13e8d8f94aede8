import { once } from "node:events";
import type { AddressInfo, Server, Socket } from "node:net";
import type { EventLog } from "../logEvent/eventLog.js";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import type { Milliseconds } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { listen, splitAddress } from "../util/socketAddress.js";
import { maximumFrameBytes } from "./frameCodec.js";
import { defaultFirstFrameLimits, MessageConnection } from "./messageConnection.js";
import { PeerClientConnection } from "./peerClientConnection.js";
import type { PeerIdentity } from "./peerHello.js";
import type { PeerRequest, PeerResponse } from "./peerMessage.js";
import type { PeerRequestHandler } from "./peerNetwork.js";
import { PeerNetwork } from "./peerNetwork.js";
import type { PeerSecurity, PeerSecuritySettings } from "./peerSecurity.js";
import { loadPeerSecurity } from "./peerSecurity.js";
import { PeerServerConnection } from "./peerServerConnection.js";

/** Minimum interval between two attempts to connect to the same address, in milliseconds. */
const reconnectIntervalMilliseconds = 100;

/** Options of a {@link TcpPeerNetwork}. */
export interface TcpPeerNetworkOptions {
    /** Address to listen on, as `host:port`; port 0 selects a free port. */
    readonly address: string;
    /** Identity of this process. */
    readonly identity: PeerIdentity;
    readonly security: PeerSecuritySettings;
    readonly events: EventLog;
}

/** Maximum number of connections that other processes have opened; several times that of the members of a group. */
const maximumAcceptedConnections = 500;

/** An outgoing connection and the time at which it was opened. */
interface OutgoingConnection {
    readonly connection: PeerClientConnection;
    readonly openedAt: Milliseconds;
}

/** Connections between control processes over TCP, with mutual TLS unless the settings say otherwise. */
export class TcpPeerNetwork extends PeerNetwork {
    private readonly handlers = new Map<string, PeerRequestHandler>();
    private readonly outgoingConnections = new Map<string, OutgoingConnection>();
    private readonly acceptedConnections = new Set<PeerServerConnection>();
    private readonly server: Server;
    private closing = false;

    private constructor(private readonly options: TcpPeerNetworkOptions, private readonly security: PeerSecurity) {
        super();
        this.server = security.createServer(socket => {
            void this.accept(socket);
        });
        this.server.maxConnections = maximumAcceptedConnections;
    }

    /** Creates a network that listens on the address of the options. */
    static async listen(options: TcpPeerNetworkOptions): Promise<Result<TcpPeerNetwork, Failure>> {
        const address = splitAddress(options.address);
        const security = await loadPeerSecurity(options.security);
        if (security.err) {
            return security;
        }
        if (!security.val.allows(address)) {
            return Err(failure("peerPlainRefused", { address: options.address }));
        }
        const network = new TcpPeerNetwork(options, security.val);
        try {
            await listen(network.server, options.address);
            return Ok(network);
        }
        catch (error) {
            return Err(failure("peerListenFailed", { address: options.address, reason: String(error) }));
        }
    }

    /** The port on which the server listens. */
    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    override async request(
        address: string,
        request: PeerRequest,
        timeout: Milliseconds,
    ): Promise<PeerResponse | undefined> {
        return this.connectionTo(address)?.request(request, timeout);
    }

    override register(group: string, handler: PeerRequestHandler): Disposable {
        this.handlers.set(group, handler);
        return {
            [Symbol.dispose]: () => {
                this.handlers.delete(group);
            },
        };
    }

    /** Closes all connections and stops listening. */
    async close(): Promise<void> {
        if (this.closing) {
            return;
        }
        this.closing = true;
        for (const { connection } of this.outgoingConnections.values()) {
            connection[Symbol.dispose]();
        }
        for (const connection of this.acceptedConnections) {
            connection[Symbol.dispose]();
        }
        const closed = once(this.server, "close");
        this.server.close();
        await closed;
    }

    private connectionTo(address: string): PeerClientConnection | undefined {
        const existing = this.outgoingConnections.get(address);
        const now = performance.now();
        if (existing !== undefined && !existing.connection.closed) {
            return existing.connection;
        }
        const hostAndPort = splitAddress(address);
        const tooSoon = existing !== undefined && now - existing.openedAt < reconnectIntervalMilliseconds;
        if (tooSoon || this.closing || !isPort(hostAndPort.port) || !this.security.allows(hostAndPort)) {
            return undefined;
        }
        const { identity, events } = this.options;
        const connection = new PeerClientConnection(
            { identity, security: this.security, events },
            hostAndPort,
        );
        this.outgoingConnections.set(address, { connection, openedAt: now });
        return connection;
    }

    private async accept(socket: Socket): Promise<void> {
        const connection = new PeerServerConnection({
            identity: this.options.identity,
            events: this.options.events,
            handleRequest: async request => this.handleRequest(request),
        }, new MessageConnection(socket, maximumFrameBytes, defaultFirstFrameLimits));
        this.acceptedConnections.add(connection);
        await connection.run();
        this.acceptedConnections.delete(connection);
    }

    private async handleRequest(request: PeerRequest): Promise<PeerResponse | undefined> {
        const handler = this.handlers.get(request.group);
        return handler === undefined ? { kind: "refused", reason: "unknownGroup" } : handler.handle(request);
    }
}

function isPort(port: number): boolean {
    return Number.isInteger(port) && port > 0 && port < 65_536;
}

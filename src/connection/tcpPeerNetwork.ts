import { once } from "node:events";
import type { AddressInfo, Server, Socket } from "node:net";
import type { EventLog } from "../logEvent/eventLog.js";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import type { Milliseconds } from "../util/clock.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import { listen, splitAddress } from "../util/socketAddress.js";
import { MessageConnection } from "./messageConnection.js";
import { PeerClientConnection } from "./peerClientConnection.js";
import type { PeerIntroduction } from "./peerHello.js";
import type { PeerRequest, PeerResponse } from "./peerMessage.js";
import type { PeerRequestHandler } from "./peerNetwork.js";
import { PeerNetwork } from "./peerNetwork.js";
import type { PeerSecurity, PeerSecuritySettings } from "./peerSecurity.js";
import { loadPeerSecurity } from "./peerSecurity.js";
import { PeerServerConnection } from "./peerServerConnection.js";

/** Shortest time between two attempts to connect to the same address, in milliseconds. */
const reconnectInterval = 100;

/** What the network of a control process needs. */
export interface TcpPeerNetworkOptions {
    /** Address to listen on, as `host:port`; port 0 takes a free one. */
    readonly address: string;
    /** Who this process is. */
    readonly identity: PeerIntroduction;
    readonly security: PeerSecuritySettings;
    readonly events: EventLog;
}

/** An outgoing connection and when it was begun. */
interface OpenedLink {
    readonly connection: PeerClientConnection;
    readonly openedAt: Milliseconds;
}

/** Connections between control processes over TCP, with mutual TLS unless the settings say otherwise. */
export class TcpPeerNetwork extends PeerNetwork {
    private readonly handlers = new Map<string, PeerRequestHandler>();
    private readonly links = new Map<string, OpenedLink>();
    private readonly accepted = new Set<PeerServerConnection>();
    private readonly server: Server;
    private closing = false;

    private constructor(private readonly options: TcpPeerNetworkOptions, private readonly security: PeerSecurity) {
        super();
        this.server = security.createServer(socket => {
            void this.accept(socket);
        });
    }

    /** Listens on the address of the options. */
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

    /** The port that is listened on. */
    get port(): number {
        return (this.server.address() as AddressInfo).port;
    }

    override async request(
        address: string,
        request: PeerRequest,
        timeout: Milliseconds,
    ): Promise<PeerResponse | undefined> {
        return this.linkTo(address)?.request(request, timeout);
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
        for (const { connection } of this.links.values()) {
            connection[Symbol.dispose]();
        }
        for (const connection of this.accepted) {
            connection[Symbol.dispose]();
        }
        const closed = once(this.server, "close");
        this.server.close();
        await closed;
    }

    private linkTo(address: string): PeerClientConnection | undefined {
        const known = this.links.get(address);
        const now = performance.now();
        if (known !== undefined && !known.connection.closed) {
            return known.connection;
        }
        const parts = splitAddress(address);
        const tooSoon = known !== undefined && now - known.openedAt < reconnectInterval;
        if (tooSoon || this.closing || !isPort(parts.port) || !this.security.allows(parts)) {
            return undefined;
        }
        const { identity: introduction, events } = this.options;
        const connection = new PeerClientConnection({ introduction, security: this.security, events }, parts);
        this.links.set(address, { connection, openedAt: now });
        return connection;
    }

    private async accept(socket: Socket): Promise<void> {
        const connection = new PeerServerConnection({
            introduction: this.options.identity,
            events: this.options.events,
            answer: async request => this.answer(request),
        }, new MessageConnection(socket));
        this.accepted.add(connection);
        await connection.run();
        this.accepted.delete(connection);
    }

    private async answer(request: PeerRequest): Promise<PeerResponse | undefined> {
        const handler = this.handlers.get(request.group);
        return handler === undefined ? { kind: "refused", reason: "unknownGroup" } : handler.handle(request);
    }
}

function isPort(port: number): boolean {
    return Number.isInteger(port) && port > 0 && port < 65_536;
}

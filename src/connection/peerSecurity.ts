import { readFile } from "node:fs/promises";
import type { Socket } from "node:net";
import { connect as connectPlain, createServer as createPlainServer } from "node:net";
import type { Server } from "node:net";
import { connect as connectTls, createServer as createTlsServer } from "node:tls";
import type { SecureContextOptions } from "node:tls";
import type { Failure } from "../resultCode/resultCode.js";
import { failure } from "../resultCode/resultCode.js";
import { Err, Ok } from "../util/result.js";
import type { Result } from "../util/result.js";
import type { HostAndPort } from "../util/socketAddress.js";

/**
 * How control processes authenticate each other.
 *
 * With `mutualTls`, both sides present a certificate of the given certificate authority, which must issue certificates
 * to control processes only. `plainOnLoopback` is for tests and the quickstart; `plainWithoutProof` trusts the whole
 * network between the VMs.
 */
export type PeerSecuritySettings =
    | {
        readonly kind: "mutualTls";
        /** Paths of PEM files. */
        readonly keyFile: string;
        readonly certificateFile: string;
        readonly authorityFile: string;
    }
    | { readonly kind: "plainOnLoopback"; }
    | { readonly kind: "plainWithoutProof"; };

/** Creates the client and server sockets between control processes. */
export abstract class PeerSecurity {
    /** Creates a server; `onSocket` is called with each connection whose client is authenticated. */
    abstract createServer(onSocket: (socket: Socket) => void): Server;

    /** Starts to connect; `onReady` is called when the server is authenticated. */
    abstract connect(address: HostAndPort, onReady: () => void): Socket;

    /** Whether connections to and from an address are allowed. */
    abstract allows(address: HostAndPort): boolean;
}

/** Mutual TLS 1.3 with certificates of one certificate authority. */
class MutualTlsSecurity extends PeerSecurity {
    constructor(private readonly tlsOptions: SecureContextOptions) {
        super();
    }

    override createServer(onSocket: (socket: Socket) => void): Server {
        const options = { ...this.tlsOptions, requestCert: true, rejectUnauthorized: true };
        const server = createTlsServer(options, onSocket);
        server.on("tlsClientError", () => undefined);
        return server;
    }

    override connect(address: HostAndPort, onReady: () => void): Socket {
        // Certificates name members, not addresses; a signature of the certificate authority is sufficient.
        return connectTls({ ...this.tlsOptions, ...address, checkServerIdentity: () => undefined }, onReady);
    }

    override allows(): boolean {
        return true;
    }
}

/** Plain TCP without authentication. */
class PlainSecurity extends PeerSecurity {
    constructor(private readonly loopbackOnly: boolean) {
        super();
    }

    override createServer(onSocket: (socket: Socket) => void): Server {
        return createPlainServer(onSocket);
    }

    override connect(address: HostAndPort, onReady: () => void): Socket {
        return connectPlain(address, onReady);
    }

    override allows(address: HostAndPort): boolean {
        return !this.loopbackOnly || address.host.startsWith("127.") || address.host === "::1";
    }
}

/** Creates the {@link PeerSecurity} for the settings; `peerKeysUnreadable` if a key or certificate file is unusable. */
export async function loadPeerSecurity(settings: PeerSecuritySettings): Promise<Result<PeerSecurity, Failure>> {
    if (settings.kind !== "mutualTls") {
        return Ok(new PlainSecurity(settings.kind === "plainOnLoopback"));
    }
    try {
        const [key, cert, ca] = await Promise.all([
            readFile(settings.keyFile),
            readFile(settings.certificateFile),
            readFile(settings.authorityFile),
        ]);
        const security = new MutualTlsSecurity({ key, cert, ca, minVersion: "TLSv1.3" });
        // Throws if the key or a certificate is unusable.
        security.createServer(() => undefined);
        return Ok(security);
    }
    catch (error) {
        return Err(failure("peerKeysUnreadable", { reason: String(error) }));
    }
}

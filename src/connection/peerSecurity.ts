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
 * How control processes prove who they are to each other.
 *
 * With `mutualTls` each side shows a certificate of the given authority, which must sign control processes alone.
 * `plainOnLoopback` is for tests and the quickstart; `plainWithoutProof` trusts the whole network between the VMs.
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

/** Opens and accepts the sockets between control processes. */
export abstract class PeerSecurity {
    /** Makes a server that passes on each connection whose other side has proved itself. */
    abstract createServer(onSocket: (socket: Socket) => void): Server;

    /** Begins to connect; `onReady` is called once the other side has proved itself. */
    abstract connect(address: HostAndPort, onReady: () => void): Socket;

    /** Whether connections to and from an address are allowed. */
    abstract allows(address: HostAndPort): boolean;
}

/** Mutual TLS 1.3 with the certificates of one authority. */
class MutualTlsSecurity extends PeerSecurity {
    constructor(private readonly keys: SecureContextOptions) {
        super();
    }

    override createServer(onSocket: (socket: Socket) => void): Server {
        const options = { ...this.keys, requestCert: true, rejectUnauthorized: true };
        const server = createTlsServer(options, onSocket);
        server.on("tlsClientError", () => undefined);
        return server;
    }

    override connect(address: HostAndPort, onReady: () => void): Socket {
        // Certificates name members, not addresses: being signed by the authority is the proof.
        return connectTls({ ...this.keys, ...address, checkServerIdentity: () => undefined }, onReady);
    }

    override allows(): boolean {
        return true;
    }
}

/** Connections without any proof. */
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

/** Prepares the way of proof that the settings ask for. */
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
        security.createServer(() => undefined);
        return Ok(security);
    }
    catch (error) {
        return Err(failure("peerKeysUnreadable", { reason: String(error) }));
    }
}

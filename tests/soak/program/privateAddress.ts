import { Server, Socket } from "node:net";
import type { ListenOptions, TcpNetConnectOpts } from "node:net";
import { privateHostOf } from "../network/vmHosts.js";

type Listen = (this: Server, ...parameters: unknown[]) => Server;
type Connect = (this: Socket, ...parameters: unknown[]) => Socket;

/**
 * Patches the sockets of this process so that it runs behind proxies: where it listens on its public host, it listens
 * on the private one instead, and it connects from the private host, so that proxies can identify the connecting VM.
 *
 * @param publicHost The host that the VM advertises.
 */
export function usePrivateAddress(publicHost: string): void {
    const privateHost = privateHostOf(publicHost);
    const listen = Reflect.get(Server.prototype, "listen") as Listen;
    const connect = Reflect.get(Socket.prototype, "connect") as Connect;
    const toPrivateHost = (value: unknown): unknown => value === publicHost ? privateHost : value;
    Reflect.set(Server.prototype, "listen", function(this: Server, ...parameters: unknown[]): Server {
        return listen.apply(
            this,
            parameters.map(value => isListenOptions(value) ? withPrivateHost(value) : toPrivateHost(value)),
        );
    });
    Reflect.set(Socket.prototype, "connect", function(this: Socket, ...parameters: unknown[]): Socket {
        // Node's `net` module passes its normalized parameters as one array.
        const [first] = parameters as [readonly [TcpNetConnectOpts] | TcpNetConnectOpts];
        const options = Array.isArray(first) ? (first as readonly [TcpNetConnectOpts])[0] : first as TcpNetConnectOpts;
        options.localAddress ??= privateHost;
        return connect.apply(this, parameters);
    });

    function withPrivateHost(options: ListenOptions): ListenOptions {
        return options.host === publicHost ? { ...options, host: privateHost } : options;
    }
}

function isListenOptions(value: unknown): value is ListenOptions {
    return value instanceof Object && "host" in value;
}

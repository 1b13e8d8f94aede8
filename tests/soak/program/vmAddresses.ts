import { Server, Socket } from "node:net";
import type { ListenOptions, TcpNetConnectOpts } from "node:net";
import { privateHostOf } from "../network/vmHosts.js";

type Listen = (this: Server, ...parameters: unknown[]) => Server;
type Connect = (this: Socket, ...parameters: unknown[]) => Socket;

/**
 * Gives this process the addresses of a VM behind proxies: it listens on its private address where it means its public
 * one, and connects from it, so that proxies can tell who connects.
 *
 * @param host The VM's public address.
 */
export function takeVmAddresses(host: string): void {
    const privateHost = privateHostOf(host);
    const listen = Reflect.get(Server.prototype, "listen") as Listen;
    const connect = Reflect.get(Socket.prototype, "connect") as Connect;
    const toPrivate = (value: unknown): unknown => value === host ? privateHost : value;
    Reflect.set(Server.prototype, "listen", function(this: Server, ...parameters: unknown[]): Server {
        return listen.apply(
            this,
            parameters.map(value => isListenOptions(value) ? privately(value) : toPrivate(value)),
        );
    });
    Reflect.set(Socket.prototype, "connect", function(this: Socket, ...parameters: unknown[]): Socket {
        // The library hands over its normalized parameters as one array.
        const [first] = parameters as [readonly [TcpNetConnectOpts] | TcpNetConnectOpts];
        const options = Array.isArray(first) ? (first as readonly [TcpNetConnectOpts])[0] : first as TcpNetConnectOpts;
        options.localAddress ??= privateHost;
        return connect.apply(this, parameters);
    });

    function privately(options: ListenOptions): ListenOptions {
        return options.host === host ? { ...options, host: privateHost } : options;
    }
}

function isListenOptions(value: unknown): value is ListenOptions {
    return value instanceof Object && "host" in value;
}

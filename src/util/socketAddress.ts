import { isIP } from "node:net";
import type { AddressInfo, Server } from "node:net";

/** Highest port number. */
const maximumPort = 65_535;

/** The host and port of an address. */
export interface HostAndPort {
    readonly host: string;
    readonly port: number;
}

/** Splits `host:port`; IPv6 hosts are enclosed in brackets, which are removed. */
export function splitAddress(address: string): HostAndPort {
    const separator = address.lastIndexOf(":");
    const host = address.slice(0, separator).replace(/^\[|\]$/g, "");
    return { host, port: Number(address.slice(separator + 1)) };
}

/** Whether an address is an IP address and a port, so that an attempt to connect to it cannot throw. */
export function isSocketAddress(address: string): boolean {
    return isIP(splitAddress(address).host) !== 0 && hasPort(address);
}

/** Whether an address ends with a port to which a connection can be opened. */
export function hasPort(address: string): boolean {
    const { port } = splitAddress(address);
    return Number.isInteger(port) && port > 0 && port <= maximumPort;
}

/** The address that a listening server is bound to, as `host:port`. */
export function boundAddress(server: Server): string {
    const { address, port, family } = server.address() as AddressInfo;
    return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}

/** Starts listening; resolves with the bound address, rejects if the address cannot be used. */
export function listen(server: Server, address: string): Promise<string> {
    const { host, port } = splitAddress(address);
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => {
            server.removeListener("error", reject);
            resolve(boundAddress(server));
        });
    });
}

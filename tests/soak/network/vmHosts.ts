import { splitAddress } from "../../../src/util/socketAddress.js";

/** Third octet of the loopback addresses that VMs and stand-ins listen on. */
const privateSubnet = 1;

/** Third octet of the loopback addresses that VMs and stand-ins advertise; proxies listen there. */
const publicSubnet = 2;

/**
 * Returns the host that a VM advertises.
 *
 * @param network Second octet of the loopback addresses.
 */
export function publicHostOf(network: number, vmNumber: number): string {
    return `127.${network}.${publicSubnet}.${vmNumber}`;
}

/** Returns the host that a VM listens on and connects from, for its public host. */
export function privateHostOf(host: string): string {
    const [loopback, network, , vmNumber] = host.split(".");
    return [loopback, network, privateSubnet, vmNumber].join(".");
}

/** Returns the number of the VM that a host belongs to; undefined if it belongs to none. */
export function vmNumberOf(host: string | undefined): number | undefined {
    const octets = host?.split(".") ?? [];
    const isVm = octets[2] === String(privateSubnet) || octets[2] === String(publicSubnet);
    return isVm ? Number(octets[3]) : undefined;
}

/** Returns the private address behind a public one, with the same port. */
export function privateAddressOf(publicAddress: string): string {
    const { host, port } = splitAddress(publicAddress);
    return `${privateHostOf(host)}:${port}`;
}

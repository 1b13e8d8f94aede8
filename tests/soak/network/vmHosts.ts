import { splitAddress } from "../../../src/util/socketAddress.js";

/** Third number of the loopback addresses that VMs and stand-ins listen on. */
const privateNetwork = 1;

/** Third number of the loopback addresses under which they are known; proxies listen there. */
const publicNetwork = 2;

/** The address under which a VM is known. */
export function publicHost(installation: number, vm: number): string {
    return `127.${installation}.${publicNetwork}.${vm}`;
}

/** The address that a VM listens on and connects from. */
export function privateHostOf(host: string): string {
    const [loopback, installation, , vm] = host.split(".");
    return [loopback, installation, privateNetwork, vm].join(".");
}

/** Number of the VM that an address belongs to; undefined where it belongs to none. */
export function vmOf(host: string | undefined): number | undefined {
    const numbers = host?.split(".") ?? [];
    const isVm = numbers[2] === String(privateNetwork) || numbers[2] === String(publicNetwork);
    return isVm ? Number(numbers[3]) : undefined;
}

/** The private address behind a public one, with the same port. */
export function privateAddressOf(publicAddress: string): string {
    const { host, port } = splitAddress(publicAddress);
    return `${privateHostOf(host)}:${port}`;
}

import { createServer } from "node:net";
import { listen } from "../util/socketAddress.js";

/** Takes free loopback addresses, for processes that must know each other's addresses before they start. */
export async function freeAddresses(count: number): Promise<readonly string[]> {
    const servers = Array.from({ length: count }, () => createServer());
    const addresses = await Promise.all(servers.map(server => listen(server, "127.0.0.1:0")));
    servers.forEach(server => server.close());
    return addresses;
}

import { EndpointClient } from "../../connection/entry/endpointClient.js";

/** HTTP clients for endpoints, one per address. */
export class EndpointClients implements Disposable {
    private readonly clients = new Map<string, EndpointClient>();

    /** Returns the client for an address; creates it on first use. */
    clientFor(address: string): EndpointClient {
        const existing = this.clients.get(address);
        if (existing !== undefined) {
            return existing;
        }
        const created = new EndpointClient(address);
        this.clients.set(address, created);
        return created;
    }

    /** Retires the clients of all other addresses; their calls in progress continue. */
    retainAddresses(addresses: ReadonlySet<string>): void {
        for (const [address, client] of this.clients) {
            if (!addresses.has(address)) {
                client.retire();
                this.clients.delete(address);
            }
        }
    }

    [Symbol.dispose](): void {
        this.clients.forEach(client => {
            client[Symbol.dispose]();
        });
        this.clients.clear();
    }
}

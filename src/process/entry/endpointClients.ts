import { EndpointClient } from "../../connection/entry/endpointClient.js";

/** The HTTP connections to all endpoints, one client for each address. */
export class EndpointClients implements Disposable {
    private readonly clients = new Map<string, EndpointClient>();

    /** The client of an address. */
    for(address: string): EndpointClient {
        const known = this.clients.get(address);
        if (known !== undefined) {
            return known;
        }
        const created = new EndpointClient(address);
        this.clients.set(address, created);
        return created;
    }

    /** Lets the clients of addresses that are no longer in use end; calls that run at them go on. */
    retain(addresses: ReadonlySet<string>): void {
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

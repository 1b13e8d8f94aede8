import { once } from "node:events";
import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import { listen, splitAddress } from "../../../src/util/socketAddress.js";
import type { LinkConditions } from "./linkConditions.js";
import { privateHostOf, vmOf } from "./vmHosts.js";

/** Two joined connections, and the VMs at their ends. */
interface Channel {
    readonly ends: readonly [Socket, Socket];
    readonly vms: readonly (number | undefined)[];
    isSilenced: boolean;
}

/** Stands before the listening addresses of VMs, and harms the connections that pass through it. */
export class LinkProxies implements Disposable {
    private readonly servers: Server[] = [];
    private readonly channels = new Set<Channel>();

    constructor(private readonly conditions: LinkConditions) {}

    /** Listens on a public address, and joins each connection to the private one behind it. */
    async open(publicAddress: string): Promise<void> {
        const { host, port } = splitAddress(publicAddress);
        const server = createServer({ allowHalfOpen: true, noDelay: true }, accepted => {
            const target = connect({ host: privateHostOf(host), port, allowHalfOpen: true, noDelay: true });
            this.join(accepted, target, vmOf(accepted.remoteAddress), vmOf(host));
        });
        this.servers.push(server);
        await listen(server, publicAddress);
    }

    /** Resets the connections of a VM. */
    reset(vm: number): void {
        this.channelsOf(vm).forEach(({ ends }) => {
            ends.forEach(end => end.resetAndDestroy());
        });
    }

    /** Lets nothing pass on the open connections of a VM for good; new ones work. */
    silence(vm: number): void {
        this.channelsOf(vm).forEach(channel => {
            channel.isSilenced = true;
        });
    }

    [Symbol.dispose](): void {
        this.servers.forEach(server => server.close());
        this.channels.forEach(({ ends }) => {
            ends.forEach(end => end.destroy());
        });
    }

    private channelsOf(vm: number): readonly Channel[] {
        return [...this.channels].filter(({ vms }) => vms.includes(vm));
    }

    private join(client: Socket, server: Socket, from: number | undefined, to: number | undefined): void {
        const channel: Channel = { ends: [client, server], vms: [from, to], isSilenced: false };
        this.channels.add(channel);
        const end = (): void => {
            client.destroy();
            server.destroy();
            this.channels.delete(channel);
        };
        for (const socket of channel.ends) {
            socket.on("error", end);
            socket.once("close", () => {
                if (client.destroyed && server.destroyed) {
                    end();
                }
            });
        }
        void this.pump(channel, client, server, from, to);
        void this.pump(channel, server, client, to, from);
    }

    /** Carries bytes one way until the sender ends or the connection fails. */
    private async pump(
        channel: Channel,
        source: Socket,
        target: Socket,
        from: number | undefined,
        to: number | undefined,
    ): Promise<void> {
        try {
            for await (const chunk of source.iterator({ destroyOnReturn: false })) {
                await this.conditions.passage(from, to);
                if (!channel.isSilenced && !target.write(chunk as Buffer)) {
                    await Promise.race([once(target, "drain"), once(target, "close")]);
                }
            }
            await this.conditions.passage(from, to);
            if (!channel.isSilenced) {
                target.end();
            }
        }
        catch {
            // One end was reset: the other one is as well.
            channel.ends.forEach(end => end.resetAndDestroy());
        }
    }
}

import { setTimeout as sleep } from "node:timers/promises";
import { Cluster } from "../../src/quickstart/cluster.js";
import { sendRequest } from "../../src/quickstart/quickstartClient.js";
import { createQuickstartManifest } from "../../src/quickstart/quickstartManifest.js";
import { generateKey } from "../../src/util/generateKey.js";
import type { CrowdTarget } from "./crowd.js";

/** An own installation of three control processes and one entry, each a program of its own, with stand-ins beside it. */
export class OwnPrograms implements AsyncDisposable {
    /** API key of a team. */
    readonly key = generateKey();
    private readonly cluster = new Cluster(1);

    /** Starts the programs; resolves when the entry answers calls. */
    static async start(): Promise<OwnPrograms> {
        const programs = new OwnPrograms();
        const { cluster, key } = programs;
        await cluster.start();
        const engine = await cluster.startStandIn("engine", "engine-1", { models: ["drafting"] });
        const serviceAddress = await cluster.startStandIn("service", "bookings-1", {});
        const manifest = createQuickstartManifest({
            number: 1,
            keys: [key, generateKey()],
            engineAddresses: [engine],
            serviceAddress,
        });
        const file = await cluster.writeFile("manifest.json", manifest);
        await cluster.runOperatorCommand("apply", file, "--wait");
        while (!await programs.sendBooking()) {
            await sleep(50);
        }
        return programs;
    }

    /** Token of an operator. */
    get operatorToken(): string {
        return this.cluster.operatorToken;
    }

    /** The entry, at its address for callers. */
    get entryTarget(): CrowdTarget {
        const [entry] = this.cluster.entries;
        return {
            address: entry?.callerAddress ?? "",
            processId: entry?.startedProgram.processId ?? 0,
            sendOrdinaryRequest: () => this.sendBooking(),
        };
    }

    /** A control process, at its address for operators. */
    get operatorTarget(): CrowdTarget {
        return this.controlTarget(this.cluster.operatorAddresses[0] ?? "");
    }

    /** A control process, at its address for entries. */
    get entryLinkTarget(): CrowdTarget {
        return this.controlTarget(this.cluster.controlEntryAddresses[0] ?? "");
    }

    /** Sends a booking; returns whether it was made. */
    async sendBooking(): Promise<boolean> {
        const address = this.cluster.entryAddresses[0] ?? "";
        const { key } = this;
        try {
            return (await sendRequest({ address, method: "POST", path: "/bookings/places", key, body: {} })).status
                === 200;
        }
        catch {
            return false;
        }
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await this.cluster[Symbol.asyncDispose]();
    }

    private controlTarget(address: string): CrowdTarget {
        return {
            address,
            processId: this.cluster.controls[0]?.startedProgram.processId ?? 0,
            sendOrdinaryRequest: async () => {
                try {
                    await this.cluster.runOperatorCommand("status");
                    return true;
                }
                catch {
                    return false;
                }
            },
        };
    }
}

import type { Clock, Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import { LaggedValue } from "../laggedValue.js";
import type { EndpointStarter, EndpointStartRequest, StartedEndpoint } from "./endpointStarter.js";
import type { PlatformOptions } from "./platformOptions.js";
import type { Vm, VmListResponse } from "./vm.js";

/** An endpoint that was stopped. */
export interface StoppedEndpoint {
    readonly endpoint: string;
    readonly stoppedAt: UnixMilliseconds;
    /** Whether the endpoint was reclaimed or stopped by an order. */
    readonly reason: "reclaimed" | "ordered";
    /** Number of requests that the stop interrupted. */
    readonly cutRequests: number;
}

/** The VMs of the platform, including those that others started, and the delayed list of them that it publishes. */
export class VmFleet {
    private readonly vms = new Map<string, Vm>();
    private readonly runningEndpoints = new Map<string, StartedEndpoint>();
    private readonly stoppedEndpoints: StoppedEndpoint[] = [];
    private readonly publishedList: LaggedValue<VmListResponse>;

    constructor(
        private readonly options: PlatformOptions,
        private readonly clock: Clock,
        private readonly starter: EndpointStarter,
        private readonly stopSignal: AbortSignal,
    ) {
        options.vms.forEach(vm => this.vms.set(vm.endpoint, vm));
        this.publishedList = new LaggedValue(options.listLagMilliseconds, this.snapshot());
    }

    /** The current VMs, without the delay of the published list. */
    get current(): readonly Vm[] {
        return [...this.vms.values()];
    }

    /** The stopped endpoints in order of their stop. */
    get stops(): readonly StoppedEndpoint[] {
        return this.stoppedEndpoints;
    }

    /** The body of `GET /vms`. */
    list(): VmListResponse {
        return this.publishedList.read(this.clock.now());
    }

    /** Starts an endpoint and adds it to the list; rejects when it cannot be started. */
    async start(request: EndpointStartRequest): Promise<Vm> {
        await this.clock.sleep(this.options.startMilliseconds, this.stopSignal);
        const started = await this.starter.start(request);
        const { endpoint, failureDomain, pool, cheap } = request;
        const vm: Vm = { endpoint, address: started.address, failureDomain, pool, cheap, state: "live" };
        this.runningEndpoints.set(endpoint, started);
        this.put(vm);
        return vm;
    }

    /** Adds a VM that others started to the list, or replaces its entry. */
    put(vm: Vm): void {
        this.vms.set(vm.endpoint, vm);
        this.publish();
    }

    /** Stops an endpoint immediately; false when it was not listed. */
    async stop(endpoint: string, reason: StoppedEndpoint["reason"] = "ordered"): Promise<boolean> {
        const wasListed = this.vms.delete(endpoint);
        const running = this.runningEndpoints.get(endpoint);
        this.runningEndpoints.delete(endpoint);
        this.publish();
        const cutRequests = running?.runningRequests ?? 0;
        this.stoppedEndpoints.push({ endpoint, stoppedAt: this.clock.unixNow(), reason, cutRequests });
        await running?.[Symbol.asyncDispose]();
        return wasListed;
    }

    /**
     * Reclaims all cheap VMs of a failure domain after a notice period; resolves when they have stopped.
     *
     * @param notice Time between marking the VMs as leaving and stopping them, in milliseconds.
     */
    async reclaim(failureDomain: string, notice: Milliseconds): Promise<void> {
        const leavesAt = this.clock.unixNow() + notice;
        const reclaimedVms = this.current.filter(vm => vm.cheap && vm.failureDomain === failureDomain);
        for (const vm of reclaimedVms) {
            this.put({ ...vm, state: "leaving", leavesAt });
            if (this.options.announcesLeaving) {
                this.runningEndpoints.get(vm.endpoint)?.announceLeaving();
            }
        }
        await this.clock.sleep(notice, this.stopSignal);
        await Promise.all(reclaimedVms.map(async vm => this.stop(vm.endpoint, "reclaimed")));
    }

    /** Stops all running endpoints. */
    async stopAll(): Promise<void> {
        await Promise.all([...this.runningEndpoints.keys()].map(async endpoint => this.stop(endpoint)));
    }

    private publish(): void {
        this.publishedList.write(this.snapshot(), this.clock.now());
    }

    private snapshot(): VmListResponse {
        return { listedAt: this.clock.unixNow(), vms: this.current };
    }
}

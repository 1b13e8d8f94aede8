import type { Clock, Milliseconds, UnixMilliseconds } from "../../util/clock.js";
import { LaggedValue } from "../laggedValue.js";
import type { EndpointRequest, EndpointStarter, StartedEndpoint } from "./endpointStarter.js";
import type { PlatformOptions } from "./platformOptions.js";
import type { Vm, VmListAnswer } from "./vm.js";

/** An endpoint that was stopped. */
export interface StoppedEndpoint {
    readonly endpoint: string;
    readonly stoppedAt: UnixMilliseconds;
    /** Whether it was taken back, or stopped by an order. */
    readonly reason: "reclaimed" | "ordered";
    /** Requests that were cut by the stop. */
    readonly cutRequests: number;
}

/** The VMs that the platform runs, and the lagging list that it publishes of them. */
export class VmFleet {
    private readonly vms = new Map<string, Vm>();
    private readonly running = new Map<string, StartedEndpoint>();
    private readonly stopped: StoppedEndpoint[] = [];
    private readonly published: LaggedValue<VmListAnswer>;

    constructor(
        private readonly options: PlatformOptions,
        private readonly clock: Clock,
        private readonly starter: EndpointStarter,
        private readonly ended: AbortSignal,
    ) {
        options.vms.forEach(vm => this.vms.set(vm.endpoint, vm));
        this.published = new LaggedValue(options.listLagMilliseconds, this.snapshot());
    }

    /** The VMs as they are now. */
    get current(): readonly Vm[] {
        return [...this.vms.values()];
    }

    /** The endpoints that were stopped, in order. */
    get stops(): readonly StoppedEndpoint[] {
        return this.stopped;
    }

    /** The body of `GET /vms`. */
    list(): VmListAnswer {
        return this.published.read(this.clock.now());
    }

    /** Starts an endpoint and lists it. */
    async start(request: EndpointRequest): Promise<Vm> {
        await this.clock.sleep(this.options.startMilliseconds, this.ended);
        const started = await this.starter.start(request);
        const { endpoint, failureDomain, pool, cheap } = request;
        const vm: Vm = { endpoint, address: started.address, failureDomain, pool, cheap, state: "live" };
        this.running.set(endpoint, started);
        this.put(vm);
        return vm;
    }

    /** Lists a VM that was started by others, or changes what the list says of it. */
    put(vm: Vm): void {
        this.vms.set(vm.endpoint, vm);
        this.publish();
    }

    /** Stops an endpoint at once; false when it is unknown. */
    async stop(endpoint: string, reason: StoppedEndpoint["reason"] = "ordered"): Promise<boolean> {
        const known = this.vms.delete(endpoint);
        const running = this.running.get(endpoint);
        this.running.delete(endpoint);
        this.publish();
        const cutRequests = running?.runningRequests ?? 0;
        this.stopped.push({ endpoint, stoppedAt: this.clock.unixNow(), reason, cutRequests });
        await running?.[Symbol.asyncDispose]();
        return known;
    }

    /**
     * Takes back every cheap VM of a failure domain after a notice; resolves when they are gone.
     *
     * @param notice Time between their appearance as leaving and their end, in milliseconds.
     */
    async reclaim(failureDomain: string, notice: Milliseconds): Promise<void> {
        const leavesAt = this.clock.unixNow() + notice;
        const taken = this.current.filter(vm => vm.cheap && vm.failureDomain === failureDomain);
        for (const vm of taken) {
            this.put({ ...vm, state: "leaving", leavesAt });
            if (this.options.announcesLeaving) {
                this.running.get(vm.endpoint)?.announceLeaving();
            }
        }
        await this.clock.sleep(notice, this.ended);
        await Promise.all(taken.map(async vm => this.stop(vm.endpoint, "reclaimed")));
    }

    /** Stops everything. */
    async stopAll(): Promise<void> {
        await Promise.all([...this.running.keys()].map(async endpoint => this.stop(endpoint)));
    }

    private publish(): void {
        this.published.write(this.snapshot(), this.clock.now());
    }

    private snapshot(): VmListAnswer {
        return { listedAt: this.clock.unixNow(), vms: this.current };
    }
}

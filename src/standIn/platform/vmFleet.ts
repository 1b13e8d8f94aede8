import type { Clock } from "../../util/clock.js";
import { LaggedValue } from "../laggedValue.js";
import type { EndpointRequest, EndpointStarter, StartedEndpoint } from "./endpointStarter.js";
import type { PlatformOptions } from "./platformOptions.js";
import type { Vm, VmListAnswer } from "./vm.js";

/** The VMs that the platform runs, and the lagging list that it publishes of them. */
export class VmFleet {
    private readonly vms = new Map<string, Vm>();
    private readonly running = new Map<string, StartedEndpoint>();
    private readonly published: LaggedValue<VmListAnswer>;

    constructor(
        private readonly options: PlatformOptions,
        private readonly clock: Clock,
        private readonly starter: EndpointStarter,
        private readonly ended: AbortSignal,
    ) {
        this.published = new LaggedValue(options.listLagMilliseconds, this.snapshot());
    }

    /** The VMs as they are now. */
    get current(): readonly Vm[] {
        return [...this.vms.values()];
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
    async stop(endpoint: string): Promise<boolean> {
        const known = this.vms.delete(endpoint);
        const running = this.running.get(endpoint);
        this.running.delete(endpoint);
        this.publish();
        await running?.[Symbol.asyncDispose]();
        return known;
    }

    /**
     * Takes back every cheap VM of a failure domain after a notice; resolves when they are gone.
     *
     * @param notice Time between their appearance as leaving and their end, in milliseconds.
     */
    async reclaim(failureDomain: string, notice: number): Promise<void> {
        const leavesAt = this.clock.unixNow() + notice;
        const taken = this.current.filter(vm => vm.cheap && vm.failureDomain === failureDomain);
        for (const vm of taken) {
            this.put({ ...vm, state: "leaving", leavesAt });
        }
        await this.clock.sleep(notice, this.ended);
        await Promise.all(taken.map(async vm => this.stop(vm.endpoint)));
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

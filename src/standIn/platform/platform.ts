import type { Clock } from "../../util/clock.js";
import type { StandInCall } from "../standInCall.js";
import { StandInServer } from "../standInServer.js";
import { ActRecord } from "./actRecord.js";
import type { EndpointStarter } from "./endpointStarter.js";
import { OrderDesk } from "./orderDesk.js";
import { handlePlatformControl } from "./platformControl.js";
import { platformOptionsSchema } from "./platformOptions.js";
import type { CapacityChange, PlatformOptions, PlatformOptionsInput } from "./platformOptions.js";
import { UsageReports } from "./usageReports.js";
import { VmFleet } from "./vmFleet.js";
import { WeightStore } from "./weightStore.js";

/**
 * A stand-in for the platform (docs/INTERFACES.md, "The platform").
 *
 *     const clock = new SystemClock();
 *     const starter = new EngineStarter(clock, request => ({ models: ["alpha"] }));
 *     const options = { failureDomains: [{ name: "hobart-a", cheapCapacity: 2 }] };
 *     await using platform = new Platform(options, clock, starter);
 *     await platform.start();                              // platform.address is "127.0.0.1:PORT"
 *     platform.acts.outOfOrder();                          // [] when only one process was in charge at a time
 *     await platform.fleet.reclaim("hobart-a", 2_000);     // takes back its cheap endpoints
 *
 * Over HTTP see {@link handlePlatformControl}; `GET /stand-in/figures` gives acts, reports, VMs and stops.
 */
export class Platform extends StandInServer {
    /** Every order, weight load and usage report in order of arrival. */
    readonly acts = new ActRecord();
    /** The usage reports received. */
    readonly usageReports: UsageReports;
    /** The VMs that run. */
    readonly fleet: VmFleet;
    private readonly options: PlatformOptions;
    private readonly desks: ReadonlyMap<string, OrderDesk>;
    private readonly weightStore: WeightStore;

    constructor(options: PlatformOptionsInput, clock: Clock, starter: EndpointStarter) {
        super(clock);
        this.options = platformOptionsSchema.parse(options);
        this.fleet = new VmFleet(this.options, clock, starter, this.ended);
        this.usageReports = new UsageReports(this.acts, clock);
        this.weightStore = new WeightStore(this.options, this.acts, clock);
        this.desks = new Map(
            this.options.failureDomains.map(domain => [
                domain.name,
                new OrderDesk(domain, this.fleet, this.acts, clock),
            ]),
        );
        this.owned.defer(async () => this.fleet.stopAll());
    }

    /** Changes what a failure domain offers from now on; false for an unknown one. */
    offer(failureDomain: string, change: CapacityChange): boolean {
        const desk = this.desks.get(failureDomain);
        desk?.offer(change);
        return desk !== undefined;
    }

    override figures(): unknown {
        return {
            acts: this.acts.all,
            outOfOrder: this.acts.outOfOrder(),
            usageReports: this.usageReports.accepted,
            vms: this.fleet.current,
            stops: this.fleet.stops,
        };
    }

    override control(name: string, call: StandInCall): boolean {
        return handlePlatformControl(name, call, this);
    }

    protected override forget(): void {
        // The platform keeps its state on disk, so a crash loses connections alone.
    }

    protected override isWork(): boolean {
        return false;
    }

    protected override async handle(call: StandInCall): Promise<void> {
        const [, collection = "", first = "", second = "", id = ""] = call.path.split("/").map(decodeURIComponent);
        switch (`${call.method} ${collection}`) {
            case "POST failure-domains":
            case "GET failure-domains":
                await this.handleOrder(call, first, second, id);
                return;
            case "GET vms":
                call.answer(200, this.fleet.list());
                return;
            case "POST weight-loads":
                this.weightStore.post(call);
                return;
            case "GET weight-loads":
                this.weightStore.get(call, first);
                return;
            case "PUT usage-reports":
                this.usageReports.put(call, first);
                return;
            default:
                call.refuse(404, `no such call: ${call.method} ${call.path}`);
        }
    }

    private async handleOrder(call: StandInCall, domain: string, collection: string, id: string): Promise<void> {
        const desk = this.desks.get(domain);
        if (desk === undefined || collection !== "orders") {
            call.refuse(404, `no orders at ${call.path}`);
        }
        else if (call.method === "POST") {
            await desk.post(call);
        }
        else {
            await desk.get(call, id);
        }
    }
}

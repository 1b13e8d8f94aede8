import type { Clock } from "../../util/clock.js";
import type { StandInCall } from "../standInCall.js";
import { StandInServer } from "../standInServer.js";
import type { EndpointStarter } from "./endpointStarter.js";
import { OperationLog } from "./operationLog.js";
import { OrderHandler } from "./orderHandler.js";
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
 *     platform.acts.findOutdated();                        // [] unless a sender used an outdated fencing number
 *     await platform.fleet.reclaim("hobart-a", 2_000);     // reclaims its cheap VMs after 2 s of notice
 *
 * {@link handlePlatformControl} lists the control calls; `GET /stand-in/figures` returns the operations, usage reports,
 * VMs and stopped endpoints.
 */
export class Platform extends StandInServer {
    /** All orders, weight loads and usage reports in order of arrival. */
    readonly acts = new OperationLog();
    /** The received usage reports. */
    readonly usageReports: UsageReports;
    /** The listed VMs. */
    readonly fleet: VmFleet;
    private readonly options: PlatformOptions;
    private readonly orderHandlers: ReadonlyMap<string, OrderHandler>;
    private readonly weightStore: WeightStore;

    constructor(options: PlatformOptionsInput, clock: Clock, starter: EndpointStarter) {
        super(clock);
        this.options = platformOptionsSchema.parse(options);
        this.fleet = new VmFleet(this.options, clock, starter, this.stopSignal);
        this.usageReports = new UsageReports(this.acts, clock);
        this.weightStore = new WeightStore(this.options, this.acts, clock);
        this.orderHandlers = new Map(
            this.options.failureDomains.map(domain => [
                domain.name,
                new OrderHandler(domain, this.fleet, this.acts, clock),
            ]),
        );
        this.disposables.defer(async () => this.fleet.stopAll());
    }

    /** Changes the capacity of a failure domain; false when the failure domain is unknown. */
    changeCapacity(failureDomain: string, change: CapacityChange): boolean {
        const orderHandler = this.orderHandlers.get(failureDomain);
        orderHandler?.changeCapacity(change);
        return orderHandler !== undefined;
    }

    override figures(): unknown {
        return {
            acts: this.acts.all,
            outOfOrder: this.acts.findOutdated(),
            usageReports: this.usageReports.accepted,
            vms: this.fleet.current,
            stops: this.fleet.stops,
        };
    }

    override handleControl(name: string, call: StandInCall): boolean {
        return handlePlatformControl(name, call, this);
    }

    protected override resetAfterCrash(): void {
        // A real platform persists its state, so a crash loses the connections only.
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
                call.respond(200, this.fleet.list());
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
                call.respondWithError(404, `no such call: ${call.method} ${call.path}`);
        }
    }

    private async handleOrder(call: StandInCall, domain: string, collection: string, id: string): Promise<void> {
        const orderHandler = this.orderHandlers.get(domain);
        if (orderHandler === undefined || collection !== "orders") {
            call.respondWithError(404, `no orders at ${call.path}`);
        }
        else if (call.method === "POST") {
            await orderHandler.post(call);
        }
        else {
            await orderHandler.get(call, id);
        }
    }
}

import { z } from "zod";
import type { Clock } from "../../util/clock.js";
import { engineOptionsSchema } from "../modelEngine/engineOptions.js";
import { ModelEngine } from "../modelEngine/modelEngine.js";
import { PlainService } from "../plainService/plainService.js";
import { plainServiceOptionsSchema } from "../plainService/plainServiceOptions.js";
import { EndpointStarter } from "./endpointStarter.js";
import type { EndpointStartRequest, StartedEndpoint } from "./endpointStarter.js";

/** Schema of the stand-in, by role and options, that the platform starts for each engine kind. */
export const engineKindsSchema = z.record(
    z.string(),
    z.discriminatedUnion("role", [
        z.strictObject({ role: z.literal("engine"), options: engineOptionsSchema }),
        z.strictObject({ role: z.literal("service"), options: plainServiceOptionsSchema }),
    ]),
);

/** The stand-in that the platform starts for each engine kind. */
export type EngineKinds = z.output<typeof engineKindsSchema>;

/** Starts stand-in engines and services in this process, selected by the engine kind of the order. */
export class EngineKindStarter extends EndpointStarter {
    constructor(private readonly clock: Clock, private readonly kinds: EngineKinds) {
        super();
    }

    override async start(request: EndpointStartRequest): Promise<StartedEndpoint> {
        const kind = this.kinds[request.engineKind];
        if (kind === undefined) {
            throw new Error(`unknown engine kind ${request.engineKind}`);
        }
        const endpoint = kind.role === "engine"
            ? new ModelEngine({ ...kind.options, name: request.endpoint }, this.clock)
            : new PlainService({ ...kind.options, name: request.endpoint }, this.clock);
        await endpoint.start();
        return endpoint;
    }
}

import type { Clock } from "../../util/clock.js";
import type { EngineOptionsInput } from "../modelEngine/engineOptions.js";
import { ModelEngine } from "../modelEngine/modelEngine.js";
import { EndpointStarter } from "./endpointStarter.js";
import type { EndpointRequest } from "./endpointStarter.js";

/** Starts stand-in model engines inside this process. */
export class EngineStarter extends EndpointStarter {
    private readonly started = new Map<string, ModelEngine>();

    /** @param optionsOf Options of the engine for a request. */
    constructor(
        private readonly clock: Clock,
        private readonly optionsOf: (request: EndpointRequest) => EngineOptionsInput = () => ({}),
    ) {
        super();
    }

    /** The engine behind an endpoint, also after it was stopped. */
    engine(endpoint: string): ModelEngine | undefined {
        return this.started.get(endpoint);
    }

    override async start(request: EndpointRequest): Promise<ModelEngine> {
        const engine = new ModelEngine({ ...this.optionsOf(request), name: request.endpoint }, this.clock);
        this.started.set(request.endpoint, engine);
        await engine.start();
        return engine;
    }
}

import type { Clock } from "../../util/clock.js";
import type { EngineOptionsInput } from "../modelEngine/engineOptions.js";
import { ModelEngine } from "../modelEngine/modelEngine.js";
import { EndpointStarter } from "./endpointStarter.js";
import type { EndpointStartRequest } from "./endpointStarter.js";

/** Starts stand-in model engines in this process. */
export class EngineStarter extends EndpointStarter {
    private readonly engines = new Map<string, ModelEngine>();

    /** @param optionsOf Returns the engine options for a start request. */
    constructor(
        private readonly clock: Clock,
        private readonly optionsOf: (request: EndpointStartRequest) => EngineOptionsInput = () => ({}),
    ) {
        super();
    }

    /** The engine of an endpoint, even after it was stopped. */
    engine(endpoint: string): ModelEngine | undefined {
        return this.engines.get(endpoint);
    }

    override async start(request: EndpointStartRequest): Promise<ModelEngine> {
        const engine = new ModelEngine({ ...this.optionsOf(request), name: request.endpoint }, this.clock);
        this.engines.set(request.endpoint, engine);
        await engine.start();
        return engine;
    }
}

import { z } from "zod";
import { failure, formatFailure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { nameSchema } from "../../settings/commonSettings.js";
import { CompiledConfiguration } from "../../version/compiledConfiguration.js";
import type { ResolvedRoute } from "../../version/compiledConfiguration.js";
import { sendFailure, sendJson } from "../httpResponse.js";
import { getFencingToken, validateInput } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";
import type { Explanation } from "./operatorMessages.js";
import { createEntryOverviews } from "./statusHandlers.js";
import type { StatusHandlersOptions } from "./statusHandlers.js";

const querySchema = z.strictObject({
    team: nameSchema.optional(),
    model: z.string().min(1).optional(),
    path: z.string().startsWith("/").optional(),
    class: z.string().min(1).optional(),
}).refine(query => (query.model === undefined) !== (query.path === undefined), "name either a model or a path");

/** Properties of the request to explain. */
type RequestProperties = z.output<typeof querySchema>;

/** Handlers that explain how requests are resolved by the configuration, regardless of load. */
export class ExplainHandlers {
    readonly routes: readonly OperatorRoute[] = [
        {
            method: "GET",
            path: "/v1/explain",
            handle: exchange => {
                this.explain(exchange);
            },
        },
    ];
    private compiledConfiguration = new CompiledConfiguration({ version: 0, manifest: undefined, issuedKeys: [] });

    constructor(private readonly options: StatusHandlersOptions) {}

    private explain({ response, query }: OperatorExchange): void {
        const parameters = validateInput(Object.fromEntries(query), querySchema);
        if (parameters.err) {
            sendFailure(response, parameters.val);
            return;
        }
        const { commandLog, clock } = this.options;
        const token = getFencingToken(commandLog, clock.now());
        if (token.err) {
            sendFailure(response, token.val);
            return;
        }
        const configuration = this.currentConfiguration();
        const { team } = parameters.val;
        if (team !== undefined && configuration.manifest?.teams.some(({ name }) => name === team) !== true) {
            sendFailure(response, failure("teamUnknown", { team }));
            return;
        }
        sendJson(response, 200, this.createExplanation(configuration, parameters.val));
    }

    private createExplanation(configuration: CompiledConfiguration, properties: RequestProperties): Explanation {
        const { version } = configuration;
        const entries = createEntryOverviews(this.options.entries, this.options.clock.now());
        const resolved = resolveRoute(configuration, properties);
        if (resolved === undefined) {
            return { version, refusal: formatFailure(createRefusal(properties)), entries };
        }
        const { route, pool, requestClass } = resolved;
        const limits = configuration.manifest?.teams.find(({ name }) => name === properties.team)?.limits;
        const { endpoints } = pool;
        return { version, resolved: { route, pool: pool.name, requestClass, limits, endpoints }, entries };
    }

    private currentConfiguration(): CompiledConfiguration {
        const snapshot = this.options.state.configuration.current;
        if (snapshot.version !== this.compiledConfiguration.version) {
            this.compiledConfiguration = new CompiledConfiguration(snapshot);
        }
        return this.compiledConfiguration;
    }
}

function resolveRoute(
    configuration: CompiledConfiguration,
    { team, model, path, class: className }: RequestProperties,
): ResolvedRoute | undefined {
    return model === undefined
        ? configuration.resolveServiceRoute(path ?? "/", className, team)
        : configuration.resolveModelRoute(model, className, team);
}

/** Creates the failure with which an entry refuses a request that the configuration does not resolve. */
function createRefusal({ team, path }: RequestProperties): Failure {
    return team === undefined
        ? failure("keyMissing")
        : failure("routeUnknown", { path: path ?? "/v1/chat/completions" });
}

import { z } from "zod";
import { describeFailure, failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { nameSchema } from "../../settings/commonSettings.js";
import { CompiledConfiguration } from "../../version/compiledConfiguration.js";
import type { ResolvedRoute } from "../../version/compiledConfiguration.js";
import { answerFailure, answerJson } from "../httpAnswer.js";
import { checkCall, leaderToken } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";
import type { Explanation } from "./operatorMessages.js";
import { entryStandings } from "./statusCalls.js";
import type { StatusCallsOptions } from "./statusCalls.js";

const querySchema = z.strictObject({
    team: nameSchema.optional(),
    model: z.string().min(1).optional(),
    path: z.string().startsWith("/").optional(),
    class: z.string().min(1).optional(),
}).refine(query => (query.model === undefined) !== (query.path === undefined), "name either a model or a path");

/** The properties of a request that is asked about. */
type RequestProperties = z.output<typeof querySchema>;

/** Explains from the configuration alone how requests are resolved. */
export class ExplainCalls {
    /** The calls of this group. */
    readonly routes: readonly OperatorRoute[] = [
        {
            method: "GET",
            path: "/v1/explain",
            answer: exchange => {
                this.explain(exchange);
            },
        },
    ];
    private compiled = new CompiledConfiguration({ version: 0, manifest: undefined, issuedKeys: [] });

    constructor(private readonly options: StatusCallsOptions) {}

    private explain({ response, query }: OperatorExchange): void {
        const call = checkCall(Object.fromEntries(query), querySchema);
        if (call.err) {
            answerFailure(response, call.val);
            return;
        }
        const { commandLog, clock } = this.options;
        const token = leaderToken(commandLog, clock.now());
        if (token.err) {
            answerFailure(response, token.val);
            return;
        }
        const configuration = this.current();
        const { team } = call.val;
        if (team !== undefined && configuration.manifest?.teams.some(({ name }) => name === team) !== true) {
            answerFailure(response, failure("teamUnknown", { team }));
            return;
        }
        answerJson(response, 200, this.explanation(configuration, call.val));
    }

    private explanation(configuration: CompiledConfiguration, properties: RequestProperties): Explanation {
        const { version } = configuration;
        const entries = entryStandings(this.options.entries, this.options.clock.now());
        const resolved = resolve(configuration, properties);
        if (resolved === undefined) {
            return { version, refusal: describeFailure(refusalOf(properties)), entries };
        }
        const { route, pool, requestClass } = resolved;
        const limits = configuration.manifest?.teams.find(({ name }) => name === properties.team)?.limits;
        const { endpoints } = pool;
        return { version, resolved: { route, pool: pool.name, requestClass, limits, endpoints }, entries };
    }

    private current(): CompiledConfiguration {
        const snapshot = this.options.state.configuration.current;
        if (snapshot.version !== this.compiled.version) {
            this.compiled = new CompiledConfiguration(snapshot);
        }
        return this.compiled;
    }
}

function resolve(
    configuration: CompiledConfiguration,
    { team, model, path, class: className }: RequestProperties,
): ResolvedRoute | undefined {
    return model === undefined
        ? configuration.serviceRoute(path ?? "/", className, team)
        : configuration.modelRoute(model, className, team);
}

/** The failure that an entry answers to a request which no route serves. */
function refusalOf({ team, path }: RequestProperties): Failure {
    return team === undefined
        ? failure("keyMissing")
        : failure("routeUnknown", { path: path ?? "/v1/chat/completions" });
}

import type { ConfigurationService } from "../../process/control/configurationService.js";
import type { CommandLog, FencingToken } from "../../process/replicatedLog/commandLog.js";
import type { ControlCommand, ControlOutcome, ControlState } from "../../process/state/controlState.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import type { Clock } from "../../util/clock.js";
import type { Result } from "../../util/result.js";
import { readBody } from "../httpBody.js";
import { sendFailure, sendJson } from "../httpResponse.js";
import { getFencingToken, sendResult } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";

/** Maximum size of a manifest, in bytes. */
export const maximumManifestBytes = 64 * 1024 * 1024;

/** Dependencies of {@link ManifestHandlers}. */
export interface ManifestHandlersOptions {
    readonly state: ControlState;
    readonly configuration: ConfigurationService;
    readonly commandLog: CommandLog<ControlCommand, ControlOutcome>;
    readonly clock: Clock;
}

/** Handlers of operator requests about manifests. */
export class ManifestHandlers {
    readonly routes: readonly OperatorRoute[] = [
        { method: "PUT", path: "/v1/manifest", handle: exchange => this.submit(exchange) },
        {
            method: "GET",
            path: "/v1/manifest",
            handle: exchange => {
                this.show(exchange);
            },
        },
        { method: "POST", path: "/v1/manifest/difference", handle: exchange => this.compare(exchange) },
    ];

    constructor(private readonly options: ManifestHandlersOptions) {}

    private show({ response }: OperatorExchange): void {
        const { current } = this.options.state.configuration;
        sendResult(response, this.getFencingToken().map(() => current.manifest ?? {}));
    }

    private getFencingToken(): Result<FencingToken, Failure> {
        return getFencingToken(this.options.commandLog, this.options.clock.now());
    }

    private async submit({ request, response, operator }: OperatorExchange): Promise<void> {
        const body = await readBody(request, maximumManifestBytes);
        if (body.err) {
            sendFailure(response, body.val);
            return;
        }
        const text = body.val.toString("utf8");
        const accepted = await this.options.configuration.submit(fileNameOf(request.headers), text, operator);
        if (accepted.err) {
            this.sendManifestFailures({ response }, accepted.val);
            return;
        }
        sendJson(response, 200, accepted.val);
    }

    /** Responds with the changes that a manifest would make, without accepting it. */
    private async compare({ request, response }: OperatorExchange): Promise<void> {
        const token = this.getFencingToken();
        if (token.err) {
            request.resume();
            sendFailure(response, token.val);
            return;
        }
        const body = await readBody(request, maximumManifestBytes);
        if (body.err) {
            sendFailure(response, body.val);
            return;
        }
        const text = body.val.toString("utf8");
        const compared = await this.options.configuration.compare(fileNameOf(request.headers), text);
        if (compared.err) {
            this.sendManifestFailures({ response }, compared.val);
            return;
        }
        sendJson(response, 200, compared.val);
    }

    private sendManifestFailures(
        { response }: Pick<OperatorExchange, "response">,
        failures: readonly Failure[],
    ): void {
        const unavailable = failures.find(({ code }) => code === "quorumUnavailable" || code === "notLeader");
        if (unavailable !== undefined) {
            sendFailure(response, unavailable);
            return;
        }
        const [first] = failures;
        if (failures.length === 1 && (first?.code === "manifestStale" || first?.code === "manifestConflict")) {
            sendFailure(response, first);
            return;
        }
        sendFailure(response, failure("manifestInvalid", { count: failures.length }), {}, failures);
    }
}

function fileNameOf(headers: OperatorExchange["request"]["headers"]): string {
    const header = headers["x-file-name"];
    return typeof header === "string" ? header : "manifest";
}

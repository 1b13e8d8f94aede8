import { match, P } from "ts-pattern";
import { z } from "zod";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { nameSchema } from "../../settings/commonSettings.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { findKeyDigest } from "../../version/findKeyDigest.js";
import { sendFailure } from "../httpResponse.js";
import type { ManifestHandlersOptions } from "./manifestHandlers.js";
import { getFencingToken, readJsonBody, sendResult } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";

const digestSchema = z.string().regex(/^[0-9a-f]{64}$/, "must be a SHA-256 digest in lower-case hexadecimal");
const issueSchema = z.strictObject({ team: nameSchema, name: nameSchema, digest: digestSchema });
const withdrawSchema = z.union([
    z.strictObject({ digest: digestSchema }),
    z.strictObject({ team: nameSchema, name: nameSchema }),
]);

/** Handlers of operator requests about keys. */
export class KeyHandlers {
    readonly routes: readonly OperatorRoute[] = [
        { method: "POST", path: "/v1/keys/issue", handle: exchange => this.issue(exchange) },
        { method: "POST", path: "/v1/keys/withdraw", handle: exchange => this.withdraw(exchange) },
    ];

    constructor(private readonly options: ManifestHandlersOptions) {}

    private async issue({ request, response, operator }: OperatorExchange): Promise<void> {
        const body = await readJsonBody(request, issueSchema);
        if (body.err) {
            sendFailure(response, body.val);
            return;
        }
        const { team, name, digest } = body.val;
        sendResult(response, await this.options.configuration.issueKey(team, { name, digest }, operator));
    }

    private async withdraw({ request, response, operator }: OperatorExchange): Promise<void> {
        const body = await readJsonBody(request, withdrawSchema);
        if (body.err) {
            sendFailure(response, body.val);
            return;
        }
        const digest = this.digestOf(body.val);
        if (digest.err) {
            sendFailure(response, digest.val);
            return;
        }
        sendResult(response, await this.options.configuration.withdrawKey(digest.val, operator));
    }

    private digestOf(body: z.output<typeof withdrawSchema>): Result<string, Failure> {
        return match(body)
            .with({ digest: P.string }, ({ digest }) => Ok(digest))
            .with({ team: P.string }, ({ team, name }) => this.digestByName(team, name))
            .exhaustive();
    }

    private digestByName(team: string, name: string): Result<string, Failure> {
        const { commandLog, clock, state } = this.options;
        const token = getFencingToken(commandLog, clock.now());
        if (token.err) {
            return token;
        }
        const digest = findKeyDigest(state.configuration.current, team, name);
        return digest === undefined ? Err(failure("keyNameUnknown", { team, name })) : Ok(digest);
    }
}

import { z } from "zod";
import { failure } from "../../resultCode/resultCode.js";
import { nameSchema } from "../../settings/commonSettings.js";
import { answerFailure, answerJson } from "../httpAnswer.js";
import { leaderToken, readCall } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";
import type { StatusCallsOptions } from "./statusCalls.js";

const drainSchema = z.strictObject({ entry: nameSchema });

/** The operators' calls that concern entries. */
export class EntryCalls {
    /** The calls of this group. */
    readonly routes: readonly OperatorRoute[] = [
        { method: "POST", path: "/v1/entries/drain", answer: exchange => this.drain(exchange) },
    ];

    constructor(private readonly options: StatusCallsOptions) {}

    /** Has an entry told, with its next permit, to stop gracefully; a repeat changes nothing. */
    private async drain({ request, response, operator }: OperatorExchange): Promise<void> {
        const call = await readCall(request, drainSchema);
        if (call.err) {
            answerFailure(response, call.val);
            return;
        }
        const { commandLog, clock, entries, eventLog } = this.options;
        const token = leaderToken(commandLog, clock.now());
        if (token.err) {
            answerFailure(response, token.val);
            return;
        }
        const { entry } = call.val;
        if (!entries.requestDrain(entry)) {
            answerFailure(response, failure("entryUnknown", { entry }));
            return;
        }
        eventLog.write("drainRequested", { entry, operator });
        answerJson(response, 200, { entry });
    }
}

import { z } from "zod";
import { failure } from "../../resultCode/resultCode.js";
import { nameSchema } from "../../settings/commonSettings.js";
import { sendFailure, sendJson } from "../httpResponse.js";
import { getFencingToken, readJsonBody } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";
import type { StatusHandlersOptions } from "./statusHandlers.js";

const drainSchema = z.strictObject({ entry: nameSchema });

/** Handlers of operator requests about entries. */
export class EntryHandlers {
    readonly routes: readonly OperatorRoute[] = [
        { method: "POST", path: "/v1/entries/drain", handle: exchange => this.drain(exchange) },
    ];

    constructor(private readonly options: StatusHandlersOptions) {}

    /** Requests that an entry drains and stops; the request is sent to the entry after its next permit. Idempotent. */
    private async drain({ request, response, operator }: OperatorExchange): Promise<void> {
        const body = await readJsonBody(request, drainSchema);
        if (body.err) {
            sendFailure(response, body.val);
            return;
        }
        const { commandLog, clock, entries, eventLog } = this.options;
        const token = getFencingToken(commandLog, clock.now());
        if (token.err) {
            sendFailure(response, token.val);
            return;
        }
        const { entry } = body.val;
        if (!entries.requestDrain(entry)) {
            sendFailure(response, failure("entryUnknown", { entry }));
            return;
        }
        eventLog.write("drainRequested", { entry, operator });
        sendJson(response, 200, { entry });
    }
}

import type { UsageLedger } from "../../process/usage/usageLedger.js";
import type { UsageTotals } from "../../process/usage/usageTotals.js";
import { windowTotals } from "../../process/usage/usageWindow.js";
import type { UsageWindow } from "../../process/usage/usageWindow.js";
import { getFencingToken, sendResult } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";
import type { FormattedTotals, OpenUsageWindow, UsageResponse } from "./operatorMessages.js";
import type { StatusHandlersOptions } from "./statusHandlers.js";

/** Handlers of operator requests about usage. */
export class UsageHandlers {
    readonly routes: readonly OperatorRoute[] = [
        {
            method: "GET",
            path: "/v1/usage",
            handle: exchange => {
                this.show(exchange);
            },
        },
    ];

    constructor(private readonly options: StatusHandlersOptions) {}

    private show({ response }: OperatorExchange): void {
        const { commandLog, clock, state } = this.options;
        const currency = state.configuration.current.manifest?.billing.currency;
        const token = getFencingToken(commandLog, clock.now());
        sendResult(response, token.map(() => createUsageResponse(state.usage, currency)));
    }
}

function createUsageResponse(ledger: UsageLedger, currency: string | undefined): UsageResponse {
    return {
        currency,
        open: ledger.openWindows().map(toOpenWindow),
        sealed: ledger.sealedWindows().map(({ start, end, digest, totals, reportedAt }) => ({
            start,
            end,
            digest,
            reportedAt,
            totals: formatTotals(totals),
        })),
    };
}

function toOpenWindow(window: UsageWindow): OpenUsageWindow {
    const { start, end, lines } = window;
    return {
        start,
        end,
        totals: formatTotals(windowTotals(window)),
        lines: lines.map(({ totals, ...key }) => ({ ...key, totals: formatTotals(totals) })),
    };
}

function formatTotals(totals: UsageTotals): FormattedTotals {
    return {
        requests: totals.requests.toString(),
        promptTokens: totals.promptTokens.toString(),
        cachedTokens: totals.cachedTokens.toString(),
        outputTokens: totals.outputTokens.toString(),
        endpointTime: totals.endpointTime.toString(),
        price: totals.price.toString(),
        cut: totals.cut.toString(),
    };
}

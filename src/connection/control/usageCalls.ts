import type { UsageLedger } from "../../process/usage/usageLedger.js";
import type { UsageTotals } from "../../process/usage/usageTotals.js";
import { windowTotals } from "../../process/usage/usageWindow.js";
import type { UsageWindow } from "../../process/usage/usageWindow.js";
import { answerResult, leaderToken } from "./operatorExchange.js";
import type { OperatorExchange, OperatorRoute } from "./operatorExchange.js";
import type { OpenUsage, ShownTotals, UsageAnswer } from "./operatorMessages.js";
import type { StatusCallsOptions } from "./statusCalls.js";

/** The operators' calls that show usage. */
export class UsageCalls {
    /** The calls of this group. */
    readonly routes: readonly OperatorRoute[] = [
        {
            method: "GET",
            path: "/v1/usage",
            answer: exchange => {
                this.show(exchange);
            },
        },
    ];

    constructor(private readonly options: StatusCallsOptions) {}

    private show({ response }: OperatorExchange): void {
        const { commandLog, clock, state } = this.options;
        const currency = state.configuration.current.manifest?.billing.currency;
        const token = leaderToken(commandLog, clock.now());
        answerResult(response, token.map(() => usageAnswer(state.usage, currency)));
    }
}

function usageAnswer(ledger: UsageLedger, currency: string | undefined): UsageAnswer {
    return {
        currency,
        open: ledger.openWindows().map(shownWindow),
        sealed: ledger.sealedWindows().map(({ start, end, digest, totals, reportedAt }) => ({
            start,
            end,
            digest,
            reportedAt,
            totals: shownTotals(totals),
        })),
    };
}

function shownWindow(window: UsageWindow): OpenUsage {
    const { start, end, lines } = window;
    return {
        start,
        end,
        totals: shownTotals(windowTotals(window)),
        lines: lines.map(({ totals, ...key }) => ({ ...key, totals: shownTotals(totals) })),
    };
}

function shownTotals(totals: UsageTotals): ShownTotals {
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

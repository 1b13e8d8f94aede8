import type { UsageRecord } from "../../../src/process/usage/usageCommand.js";

/** Creates a usage record of one request that finished at the given time. */
export function createUsageRecord(finishedAt: number, fields: Partial<UsageRecord> = {}): UsageRecord {
    return {
        team: "derwent",
        requestClass: "draft",
        outcome: "complete",
        finishedAt,
        requests: 1,
        promptTokens: 10,
        cachedTokens: 4,
        outputTokens: 7,
        endpointTime: 20,
        price: 100,
        cut: 9,
        ...fields,
    };
}

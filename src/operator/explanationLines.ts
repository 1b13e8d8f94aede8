import type { EntryPrediction } from "./entryPrediction.js";
import type { ExplanationResponse } from "./responseSchemas.js";
import { formatTable } from "./textTable.js";

type Resolved = NonNullable<ExplanationResponse["resolved"]>;

/** Maximum number of candidates that are listed for one entry. */
const maximumShownCandidates = 4;

/** Formats an explanation as text. */
export function explanationLines(
    explanation: ExplanationResponse,
    predictions: readonly EntryPrediction[],
): readonly string[] {
    const { version, refusal, resolved } = explanation;
    if (resolved === undefined) {
        return [`refused by version ${version}, regardless of load: ${refusal ?? "no route matches"}`];
    }
    const rows = predictions.map(prediction => [
        prediction.entry,
        prediction.decision,
        prediction.reason,
        prediction.candidates.slice(0, maximumShownCandidates).join(", ") || "-",
    ]);
    return [
        ...resolvedLines(version, resolved),
        "",
        ...formatTable(["entry", "decision", "because", "candidates, lowest load first"], rows),
    ];
}

function resolvedLines(version: number, resolved: Resolved): readonly string[] {
    const { route, pool, requestClass, limits, endpoints } = resolved;
    const { name, tier, weight, preemptible } = requestClass;
    const preemption = preemptible ? "preemptible" : "not preemptible";
    return [
        `version  ${version}`,
        `route    ${route.name} to pool ${pool}, ${endpoints.length} listed endpoints`,
        `class    ${name}: tier ${tier}, weight ${weight}, ${preemption}`,
        `target   ${targetText(requestClass.target)}`,
        `queue    refused after ${requestClass.maximumQueueMilliseconds ?? requestClass.target.totalMilliseconds} ms`,
        `limits   ${limits === undefined ? "none for the team" : limitText(limits)}`,
    ];
}

function targetText(target: Resolved["requestClass"]["target"]): string {
    const { firstTokenMilliseconds, betweenTokensMilliseconds, totalMilliseconds } = target;
    const parts = [
        firstTokenMilliseconds === undefined ? [] : [`first token ${firstTokenMilliseconds} ms`],
        betweenTokensMilliseconds === undefined ? [] : [`between tokens ${betweenTokensMilliseconds} ms`],
        [`total ${totalMilliseconds} ms`],
    ];
    return parts.flat().join(", ");
}

function limitText(limits: NonNullable<Resolved["limits"]>): string {
    const { requestsPerSecond, tokensPerMinute, concurrentRequests } = limits;
    const parts = [
        requestsPerSecond === undefined ? [] : [`${requestsPerSecond} requests per second`],
        tokensPerMinute === undefined ? [] : [`${tokensPerMinute} tokens per minute`],
        concurrentRequests === undefined ? [] : [`${concurrentRequests} concurrent requests`],
    ];
    return parts.flat().join(", ");
}

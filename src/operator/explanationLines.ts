import type { ShownExplanation } from "./answerSchemas.js";
import type { EntryVerdict } from "./entryVerdict.js";
import { textTable } from "./textTable.js";

type Resolved = NonNullable<ShownExplanation["resolved"]>;

/** Most candidates that are named for one entry. */
const shownCandidates = 4;

/** The explanation for people. */
export function explanationLines(explanation: ShownExplanation, verdicts: readonly EntryVerdict[]): readonly string[] {
    const { version, refusal, resolved } = explanation;
    if (resolved === undefined) {
        return [`refused by version ${version}, whatever the load is: ${refusal ?? "no route serves it"}`];
    }
    const rows = verdicts.map(verdict => [
        verdict.entry,
        verdict.decision,
        verdict.reason,
        verdict.candidates.slice(0, shownCandidates).join(", ") || "-",
    ]);
    return [
        ...resolvedLines(version, resolved),
        "",
        ...textTable(["entry", "decision", "because", "candidates, best first"], rows),
    ];
}

function resolvedLines(version: number, resolved: Resolved): readonly string[] {
    const { route, pool, requestClass, limits, endpoints } = resolved;
    const { name, tier, weight, preemptible } = requestClass;
    const traits = preemptible ? "may be interrupted" : "is not interrupted";
    return [
        `version  ${version}`,
        `route    ${route.name} to pool ${pool}, ${endpoints.length} listed endpoints`,
        `class    ${name}: tier ${tier}, weight ${weight}, ${traits}`,
        `target   ${targetText(requestClass.target)}`,
        `wait     refused after ${requestClass.maximumQueueMilliseconds ?? requestClass.target.totalMilliseconds} ms`,
        `limits   ${limits === undefined ? "none of the team" : limitText(limits)}`,
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
        requestsPerSecond === undefined ? [] : [`${requestsPerSecond} requests a second`],
        tokensPerMinute === undefined ? [] : [`${tokensPerMinute} tokens a minute`],
        concurrentRequests === undefined ? [] : [`${concurrentRequests} requests at once`],
    ];
    return parts.flat().join(", ");
}

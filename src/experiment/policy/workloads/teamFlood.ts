import type { Milliseconds } from "../../../util/clock.js";
import type { RandomSource } from "../../../util/randomSource.js";
import { drawArrivals } from "../arrivalProcess.js";
import type { LogicalRequest } from "../arrivalProcess.js";
import { Scenario } from "../scenario.js";
import { defaultEngineSpeed } from "./mixedScenario.js";
import { createRequestClass, logNormalMean } from "./requestClassFactory.js";

const outputMedian = 150;
const outputSigma = 0.5;
const smallTeamCount = 9;

/** Load of each small team, as a fraction of the capacity. */
const smallTeamLoadFraction = 0.06;

/** Load of the large team during the flood, as a fraction of the capacity. */
const floodLoadFraction = 2.5;

/** One large team floods a request class that nine small teams also use. */
export class TeamFlood extends Scenario {
    override readonly name = "team-flood";
    override readonly description = "One large team floods a request class that nine small teams share.";
    override readonly entryCount = 7;
    override readonly engineCount = 4;
    override readonly engineSpeed = defaultEngineSpeed;
    override readonly duration: Milliseconds = 150_000;
    override readonly smallTeams = [...Array(smallTeamCount).keys()].map(index => `small-${index}`);

    private readonly requestClass = createRequestClass("draft", 1, 12_000);

    override drawRequests(random: RandomSource): readonly LogicalRequest[] {
        const capacityRequestsPerSecond = this.capacityTokensPerSecond
            / (logNormalMean(outputMedian, outputSigma) + 500 / defaultEngineSpeed.promptTokensPerStep);
        const common = { requestClass: this.requestClass, outputMedian, outputSigma, meanPromptTokens: 500 };
        const largeTeamRate = (time: Milliseconds): number =>
            time >= 20_000 && time < 110_000
                ? capacityRequestsPerSecond * floodLoadFraction
                : capacityRequestsPerSecond * 0.1;
        const smallTeamsRate = capacityRequestsPerSecond * smallTeamLoadFraction * smallTeamCount;
        const largeTeamRequests = drawArrivals(
            {
                ...common,
                requestsPerSecondAt: largeTeamRate,
                maximumRequestsPerSecond: capacityRequestsPerSecond * floodLoadFraction,
                chooseTeam: () => "large",
            },
            this.duration,
            random,
        );
        const smallTeamRequests = drawArrivals(
            {
                ...common,
                requestsPerSecondAt: () => smallTeamsRate,
                maximumRequestsPerSecond: smallTeamsRate,
                chooseTeam: random => `small-${random.integer(0, smallTeamCount - 1)}`,
            },
            this.duration,
            random,
        );
        return [...largeTeamRequests.map(each => ({ ...each, id: `large-${each.id}` })), ...smallTeamRequests];
    }
}

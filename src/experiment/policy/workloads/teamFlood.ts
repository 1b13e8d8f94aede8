import type { Milliseconds } from "../../../util/clock.js";
import type { RandomSource } from "../../../util/randomSource.js";
import { Scenario } from "../scenario.js";
import { drawDemands } from "../workload.js";
import type { Demand } from "../workload.js";
import { buildClass, meanOf } from "./classBuilder.js";
import { ordinaryEngine } from "./mixedScenario.js";

const outputMedian = 150;
const outputSigma = 0.5;
const smallTeamCount = 9;

/** Share of the capacity that each small team asks for. */
const smallShare = 0.06;

/** Share of the capacity that the large team asks for while it floods. */
const floodShare = 2.5;

/** One large team floods a class that nine small teams use as well. */
export class TeamFlood extends Scenario {
    override readonly name = "team-flood";
    override readonly description = "One large team floods while nine small ones wait.";
    override readonly entries = 7;
    override readonly engines = 4;
    override readonly engineSpeed = ordinaryEngine;
    override readonly duration: Milliseconds = 150_000;
    override readonly smallTeams = [...Array(smallTeamCount).keys()].map(index => `small-${index}`);

    private readonly requestClass = buildClass("draft", 1, 12_000);

    override demands(random: RandomSource): readonly Demand[] {
        const perShare = this.capacity / (meanOf(outputMedian, outputSigma) + 500 / ordinaryEngine.promptTokensPerStep);
        const common = { requestClass: this.requestClass, outputMedian, outputSigma, promptTokens: 500 };
        const flood = (at: Milliseconds): number =>
            at >= 20_000 && at < 110_000 ? perShare * floodShare : perShare * 0.1;
        const small = perShare * smallShare * smallTeamCount;
        const large = drawDemands(
            { ...common, rate: flood, largestRate: perShare * floodShare, team: () => "large" },
            this.duration,
            random,
        );
        const others = drawDemands(
            {
                ...common,
                rate: () => small,
                largestRate: small,
                team: source => `small-${source.integer(0, smallTeamCount - 1)}`,
            },
            this.duration,
            random,
        );
        return [...large.map(each => ({ ...each, id: `large-${each.id}` })), ...others];
    }
}

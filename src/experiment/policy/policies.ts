import { FifoQueue } from "../../request/admission/fifoQueue.js";
import { SummaryRemoteLoad } from "../../request/admission/remoteLoad.js";
import { NewestRequestPolicy } from "../../request/admission/sheddingPolicy.js";
import { TieredQueue } from "../../request/admission/tieredQueue.js";
import type { TieredQueueOptions } from "../../request/admission/tieredQueue.js";
import { OracleQueue } from "./oracleQueue.js";
import { Policy } from "./policy.js";
import type { EntryAdmission, PolicyContext } from "./policy.js";
import { ShortestPredictedQueue } from "./shortestPredictedQueue.js";

/** Waiting requests that each entry holds, the same for every policy. */
const entryQueueLength = 250;

class FirstComePolicy extends Policy {
    override readonly name = "first-come";
    override readonly description = "Order of arrival, one bounded queue at each entry.";

    override createAdmission(): EntryAdmission {
        return { queue: new FifoQueue(entryQueueLength) };
    }
}

class ShortestPredictedPolicy extends Policy {
    override readonly name = "shortest-predicted";
    override readonly description = "Fewest predicted output tokens first, without tiers or teams.";

    override createAdmission(): EntryAdmission {
        return { queue: new ShortestPredictedQueue(entryQueueLength) };
    }
}

class TieredPolicy extends Policy {
    override readonly name: string = "tiered";
    override readonly description: string = "The tiered queue, entries coordinated by summaries.";

    override createAdmission(): EntryAdmission {
        const neighbours = new SummaryRemoteLoad();
        const queue = new TieredQueue({ maximumLength: entryQueueLength, remoteLoad: neighbours, ...this.variation });
        return { queue, coordination: { queue, neighbours } };
    }

    protected get variation(): TieredQueueOptions {
        return {};
    }
}

class NoFairnessPolicy extends TieredPolicy {
    override readonly name = "no-fairness";
    override readonly description = "The tiered queue that does not know teams.";
    override readonly seesTeams = false;
}

class YoungestVictimPolicy extends TieredPolicy {
    override readonly name = "youngest-victim";
    override readonly description =
        "The tiered queue that sheds the youngest request of the lowest tier, whatever its team.";

    protected override get variation(): TieredQueueOptions {
        return { sheddingPolicy: new NewestRequestPolicy() };
    }
}

class NoCoordinationPolicy extends Policy {
    override readonly name = "no-coordination";
    override readonly description = "The tiered queue, each entry for itself.";

    override createAdmission(): EntryAdmission {
        return { queue: new TieredQueue({ maximumLength: entryQueueLength }) };
    }
}

class OraclePolicy extends Policy {
    override readonly name = "oracle";
    override readonly description = "Knows every length and the true load, in one place.";
    override readonly omniscient = true;

    override createAdmission(context: PolicyContext): EntryAdmission {
        const { slots, stepTime, stepTimePerStream, promptTokensPerStep } = context.engineSpeed;
        const step = stepTime + stepTimePerStream * slots;
        const queue = new OracleQueue(request => {
            return step * (context.trueOutput(request) + request.promptTokens / promptTokensPerStep);
        });
        return { queue };
    }
}

/** Every policy that can be chosen, the plain ones first. */
export const policies: readonly Policy[] = [
    new FirstComePolicy(),
    new ShortestPredictedPolicy(),
    new NoFairnessPolicy(),
    new NoCoordinationPolicy(),
    new YoungestVictimPolicy(),
    new TieredPolicy(),
    new OraclePolicy(),
];

import { FifoQueue } from "../../request/admission/fifoQueue.js";
import { SummaryRemoteLoad } from "../../request/admission/remoteLoad.js";
import { NewestRequestPolicy } from "../../request/admission/sheddingPolicy.js";
import { TieredQueue } from "../../request/admission/tieredQueue.js";
import type { TieredQueueOptions } from "../../request/admission/tieredQueue.js";
import { OracleQueue } from "./oracleQueue.js";
import { Policy } from "./policy.js";
import type { EntryAdmission, PolicyContext } from "./policy.js";
import { ShortestPredictedQueue } from "./shortestPredictedQueue.js";

/** Maximum number of waiting requests per entry, the same for every policy. */
const maximumEntryQueueLength = 250;

class FirstComePolicy extends Policy {
    override readonly name = "first-come";
    override readonly description = "First come, first served, with one bounded queue per entry.";

    override createAdmission(): EntryAdmission {
        return { queue: new FifoQueue(maximumEntryQueueLength) };
    }
}

class ShortestPredictedPolicy extends Policy {
    override readonly name = "shortest-predicted";
    override readonly description = "Fewest predicted output tokens first, regardless of tiers and teams.";

    override createAdmission(): EntryAdmission {
        return { queue: new ShortestPredictedQueue(maximumEntryQueueLength) };
    }
}

class TieredPolicy extends Policy {
    override readonly name: string = "tiered";
    override readonly description: string = "Tiered queue; entries coordinate through summaries.";

    override createAdmission(): EntryAdmission {
        const remoteLoad = new SummaryRemoteLoad();
        const queue = new TieredQueue({
            maximumLength: maximumEntryQueueLength,
            remoteLoad,
            ...this.queueOptions,
        });
        return { queue, coordination: { queue, remoteLoad } };
    }

    protected get queueOptions(): TieredQueueOptions {
        return {};
    }
}

class NoFairnessPolicy extends TieredPolicy {
    override readonly name = "no-fairness";
    override readonly description = "Tiered queue without knowledge of teams.";
    override readonly includesTeam = false;
}

class YoungestVictimPolicy extends TieredPolicy {
    override readonly name = "youngest-victim";
    override readonly description =
        "Tiered queue that sheds the newest request of the lowest tier, regardless of its team.";

    protected override get queueOptions(): TieredQueueOptions {
        return { sheddingPolicy: new NewestRequestPolicy() };
    }
}

class NoCoordinationPolicy extends Policy {
    override readonly name = "no-coordination";
    override readonly description = "Tiered queue without coordination between entries.";

    override createAdmission(): EntryAdmission {
        return { queue: new TieredQueue({ maximumLength: maximumEntryQueueLength }) };
    }
}

class OraclePolicy extends Policy {
    override readonly name = "oracle";
    override readonly description =
        "One central queue that knows the output length of each request and the current load.";
    override readonly isCentralized = true;

    override createAdmission(context: PolicyContext): EntryAdmission {
        const { slots, stepTime, stepTimePerSequence, promptTokensPerStep } = context.engineSpeed;
        const fullBatchStepTime = stepTime + stepTimePerSequence * slots;
        const queue = new OracleQueue(request => {
            return fullBatchStepTime * (context.trueOutputTokens(request) + request.promptTokens / promptTokensPerStep);
        });
        return { queue };
    }
}

/** All policies; the baselines first, the oracle last. */
export const policies: readonly Policy[] = [
    new FirstComePolicy(),
    new ShortestPredictedPolicy(),
    new NoFairnessPolicy(),
    new NoCoordinationPolicy(),
    new YoungestVictimPolicy(),
    new TieredPolicy(),
    new OraclePolicy(),
];

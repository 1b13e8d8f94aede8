import type { Milliseconds } from "../../../util/clock.js";
import type { EngineModel } from "../engineModel.js";
import type { EngineFault } from "../scenario.js";
import { EnrolmentRush } from "./enrolmentRush.js";

const failureTime: Milliseconds = 60_000;
const failureDomainCount = 3;

/** One failure domain with a third of the engines fails at the peak of the enrolment rush. */
export class DomainLoss extends EnrolmentRush {
    override readonly name: string = "domain-loss";
    override readonly description: string = "One of three failure domains fails in the middle of the enrolment rush.";
    override readonly faults: readonly EngineFault[] = [{
        at: failureTime,
        affects: engineIndex => engineIndex % failureDomainCount === 0,
        apply: (engine: EngineModel) => {
            engine.fail();
        },
    }];
}

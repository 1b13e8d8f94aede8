import type { Milliseconds } from "../../../util/clock.js";
import type { EngineModel } from "../engineModel.js";
import type { EngineFault } from "../scenario.js";
import { EnrolmentRush } from "./enrolmentRush.js";

const lossAt: Milliseconds = 60_000;
const failureDomainCount = 3;

/** One failure domain, a third of the engines, is lost at the height of the enrolment rush. */
export class DomainLoss extends EnrolmentRush {
    override readonly name: string = "domain-loss";
    override readonly description: string = "One failure domain of three is lost in the middle of the enrolment rush.";
    override readonly faults: readonly EngineFault[] = [{
        at: lossAt,
        strikes: engine => engine % failureDomainCount === 0,
        strike: (engine: EngineModel) => {
            engine.lose();
        },
    }];
}

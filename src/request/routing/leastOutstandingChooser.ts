import type { EndpointGroup } from "../../process/entry/endpointGroup.js";
import type { EndpointState } from "../../process/entry/endpointState.js";
import { EndpointChooser } from "../endpointChooser.js";

/** Chooses the endpoint that runs the fewest requests of this entry, by a linear scan; a baseline for measurements. */
export class LeastOutstandingChooser extends EndpointChooser {
    override choose(group: EndpointGroup): EndpointState | undefined {
        let best: EndpointState | undefined;
        for (const candidate of group.available) {
            if (best === undefined || candidate.running < best.running) {
                best = candidate;
            }
        }
        return best;
    }
}

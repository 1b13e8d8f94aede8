import type { EndpointState } from "../../process/entry/endpointState.js";
import { EndpointChooser } from "../endpointChooser.js";

/** Chooses the endpoint that runs the fewest requests of this entry; a baseline. */
export class LeastOutstandingChooser extends EndpointChooser {
    override choose(candidates: readonly EndpointState[]): EndpointState | undefined {
        let best: EndpointState | undefined;
        for (const candidate of candidates) {
            if (best === undefined || candidate.running < best.running) {
                best = candidate;
            }
        }
        return best;
    }
}

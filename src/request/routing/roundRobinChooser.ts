import type { EndpointGroup } from "../../process/entry/endpointGroup.js";
import type { EndpointState } from "../../process/entry/endpointState.js";
import { EndpointChooser } from "../endpointChooser.js";

/** Chooses the endpoints in turn and passes over those without a free slot; a baseline. */
export class RoundRobinChooser extends EndpointChooser {
    private position = 0;

    override choose(group: EndpointGroup): EndpointState | undefined {
        const { members } = group;
        for (let step = 0; step < members.length; step++) {
            const candidate = members[(this.position + step) % members.length];
            if (candidate !== undefined && group.isAvailable(candidate)) {
                this.position = (this.position + step + 1) % members.length;
                return candidate;
            }
        }
        return undefined;
    }
}

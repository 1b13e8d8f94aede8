import type { EndpointGroup } from "../../process/entry/endpointGroup.js";
import type { EndpointState } from "../../process/entry/endpointState.js";
import { EndpointChooser } from "../endpointChooser.js";

/** Chooses endpoints in turn and skips those that are not available; a baseline for measurements. */
export class RoundRobinChooser extends EndpointChooser {
    private nextIndex = 0;

    override choose(group: EndpointGroup): EndpointState | undefined {
        const { members } = group;
        for (let offset = 0; offset < members.length; offset++) {
            const candidate = members[(this.nextIndex + offset) % members.length];
            if (candidate !== undefined && group.isAvailable(candidate)) {
                this.nextIndex = (this.nextIndex + offset + 1) % members.length;
                return candidate;
            }
        }
        return undefined;
    }
}

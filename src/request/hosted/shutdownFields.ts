import type { Milliseconds } from "../../util/clock.js";
import type { DeployedRoute } from "../../version/deployment.js";
import type { CallContext } from "./callContext.js";

/** What log events of a call state while its entry shuts down; undefined at other times. */
export interface ShutdownFields {
    /** Longest time that calls of the route have taken; undefined if that is not known. */
    readonly expectedDuration: Milliseconds | undefined;
    /** Time until the entry ends its remaining calls. */
    readonly shutdownLeft: Milliseconds | undefined;
}

/** @param route Undefined if the call was not admitted. */
export function shutdownFieldsOf(
    route: DeployedRoute | undefined,
    { shutdown, durations, clock, suspensionDetector }: CallContext,
): ShutdownFields {
    const timeLeft = shutdown.timeLeft(suspensionDetector.now());
    if (timeLeft === undefined) {
        return { expectedDuration: undefined, shutdownLeft: undefined };
    }
    const duration = route && durations.longest(route.name, clock.now());
    return {
        expectedDuration: duration === undefined ? undefined : Math.round(duration),
        shutdownLeft: Math.round(timeLeft),
    };
}

import type { Milliseconds } from "../../util/clock.js";
import type { DeployedRoute } from "../../version/deployment.js";
import type { CallContext } from "./callContext.js";

/** What log events of a call state while its entry shuts down; undefined at other times. */
export interface ShutdownFields {
    /** How long calls of the route take; undefined if that is not known. */
    readonly expectedDuration: Milliseconds | undefined;
    /** Time until the entry ends its remaining calls. */
    readonly shutdownLeft: Milliseconds | undefined;
}

/** @param route Undefined if the call was not admitted. */
export function shutdownFieldsOf(
    route: DeployedRoute | undefined,
    { shutdown, durations }: CallContext,
    now: Milliseconds,
): ShutdownFields {
    const timeLeft = shutdown.timeLeft(now);
    if (timeLeft === undefined) {
        return { expectedDuration: undefined, shutdownLeft: undefined };
    }
    const duration = route && durations.expected(route.name);
    return {
        expectedDuration: duration === undefined ? undefined : Math.round(duration),
        shutdownLeft: Math.round(timeLeft),
    };
}

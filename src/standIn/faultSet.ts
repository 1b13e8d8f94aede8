import { WakeUp } from "../util/wakeUp.js";
import { faultSchema } from "./fault.js";
import type { Fault, FaultInput, FaultKind } from "./fault.js";

type FaultOf<Kind extends FaultKind> = Extract<Fault, { readonly kind: Kind; }>;

/** The faults that a stand-in shows at present; at most one of each kind. */
export class FaultSet {
    private readonly faults = new Map<FaultKind, Fault>();
    private readonly changes = new WakeUp();
    private readonly listeners: (() => void)[] = [];

    /** Shows a fault from now on, in place of an earlier one of its kind; throws on a malformed one. */
    set(input: FaultInput): void {
        const fault = faultSchema.parse(input);
        this.faults.set(fault.kind, fault);
        this.tell();
    }

    /** Lifts the fault of a kind, or all of them. */
    clear(kind?: FaultKind): void {
        if (kind === undefined) {
            this.faults.clear();
        }
        else {
            this.faults.delete(kind);
        }
        this.tell();
    }

    /** The faults that are shown. */
    list(): readonly Fault[] {
        return [...this.faults.values()];
    }

    /** The fault of a kind if it is shown and strikes the path; its count of strikes stays. */
    peek<Kind extends FaultKind>(kind: Kind, path = "/"): FaultOf<Kind> | undefined {
        const fault = this.faults.get(kind);
        if (fault === undefined || ("pathPrefix" in fault && !path.startsWith(fault.pathPrefix))) {
            return undefined;
        }
        return fault as FaultOf<Kind>;
    }

    /** Like {@link peek}, but uses up one strike. */
    strike<Kind extends FaultKind>(kind: Kind, path = "/"): FaultOf<Kind> | undefined {
        const fault = this.peek(kind, path);
        if (fault !== undefined && "times" in fault && fault.times !== undefined) {
            this.useUp(fault, fault.times);
        }
        return fault;
    }

    /** Resolves at the next change of the faults or when the signal aborts. */
    async changed(signal: AbortSignal): Promise<void> {
        await this.changes.wait(signal);
    }

    /** Calls a listener on each change of the faults. */
    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    private useUp(fault: Fault, times: number): void {
        if (times === 1) {
            this.faults.delete(fault.kind);
        }
        else {
            this.faults.set(fault.kind, { ...fault, times: times - 1 } as Fault);
        }
    }

    private tell(): void {
        this.changes.wake();
        for (const listener of this.listeners) {
            listener();
        }
    }
}

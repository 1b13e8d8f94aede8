import { ConditionVariable } from "../util/conditionVariable.js";
import { faultSchema } from "./fault.js";
import type { Fault, FaultInput, FaultKind } from "./fault.js";

type FaultOf<Kind extends FaultKind> = Extract<Fault, { readonly kind: Kind; }>;

/** The active faults of a stand-in; at most one of each kind. */
export class FaultSet {
    private readonly faults = new Map<FaultKind, Fault>();
    private readonly changeWakeUp = new ConditionVariable();
    private readonly listeners: (() => void)[] = [];

    /** Activates a fault and replaces an active one of the same kind; throws when the fault is invalid. */
    set(input: FaultInput): void {
        const fault = faultSchema.parse(input);
        this.faults.set(fault.kind, fault);
        this.notifyListeners();
    }

    /** Clears the fault of a kind, or all faults when no kind is given. */
    clear(kind?: FaultKind): void {
        if (kind === undefined) {
            this.faults.clear();
        }
        else {
            this.faults.delete(kind);
        }
        this.notifyListeners();
    }

    /** The active faults. */
    list(): readonly Fault[] {
        return [...this.faults.values()];
    }

    /** The fault of a kind if it is active and applies to the path; does not decrement its remaining `times`. */
    peek<Kind extends FaultKind>(kind: Kind, path = "/"): FaultOf<Kind> | undefined {
        const fault = this.faults.get(kind);
        if (fault === undefined || ("pathPrefix" in fault && !path.startsWith(fault.pathPrefix))) {
            return undefined;
        }
        return fault as FaultOf<Kind>;
    }

    /** Like {@link peek}, but decrements the remaining `times`; the fault is cleared when none are left. */
    consume<Kind extends FaultKind>(kind: Kind, path = "/"): FaultOf<Kind> | undefined {
        const fault = this.peek(kind, path);
        if (fault !== undefined && "times" in fault && fault.times !== undefined) {
            this.decrementTimes(fault, fault.times);
        }
        return fault;
    }

    /** Resolves when the faults change or the signal aborts. */
    async waitForChange(signal: AbortSignal): Promise<void> {
        await this.changeWakeUp.wait(signal);
    }

    /** Registers a listener that is called on each change of the faults, except by {@link consume}. */
    onChange(listener: () => void): void {
        this.listeners.push(listener);
    }

    private decrementTimes(fault: Fault, times: number): void {
        if (times === 1) {
            this.faults.delete(fault.kind);
        }
        else {
            this.faults.set(fault.kind, { ...fault, times: times - 1 } as Fault);
        }
    }

    private notifyListeners(): void {
        this.changeWakeUp.notifyAll();
        for (const listener of this.listeners) {
            listener();
        }
    }
}

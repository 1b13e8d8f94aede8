import { EventEmitter } from "node:events";
import { faultSchema } from "./fault.js";
import type { Fault, FaultInput, FaultKind } from "./fault.js";

type FaultOf<Kind extends FaultKind> = Extract<Fault, { readonly kind: Kind; }>;

/** The faults that a stand-in shows at present; at most one of each kind. */
export class FaultSet {
    private readonly faults = new Map<FaultKind, Fault>();
    private readonly changes = new EventEmitter().setMaxListeners(0);

    /** Shows a fault from now on, in place of an earlier one of its kind; throws on a malformed one. */
    set(input: FaultInput): void {
        const fault = faultSchema.parse(input);
        this.faults.set(fault.kind, fault);
        this.changes.emit("change");
    }

    /** Lifts the fault of a kind, or all of them. */
    clear(kind?: FaultKind): void {
        if (kind === undefined) {
            this.faults.clear();
        }
        else {
            this.faults.delete(kind);
        }
        this.changes.emit("change");
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

    /** Resolves when the faults change. */
    async changed(): Promise<void> {
        await new Promise<void>(resolve => this.changes.once("change", resolve));
    }

    /** Calls a listener on each change of the faults. */
    onChange(listener: () => void): void {
        this.changes.on("change", listener);
    }

    private useUp(fault: Fault, times: number): void {
        if (times === 1) {
            this.faults.delete(fault.kind);
        }
        else {
            this.faults.set(fault.kind, { ...fault, times: times - 1 } as Fault);
        }
    }
}

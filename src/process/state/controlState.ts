import { Decoder, Encoder } from "cbor-x";
import { match } from "ts-pattern";
import type { ClaimCommand, ClaimOutcome } from "../claims/claimCommand.js";
import { ClaimTable } from "../claims/claimTable.js";
import { ActLedger } from "../platform/actLedger.js";
import type { PlatformCommand, PlatformOutcome } from "../platform/platformCommand.js";
import { StateMachine } from "../replicatedLog/commandLog.js";
import type { UsageCommand, UsageCommandOutcome } from "../usage/usageCommand.js";
import { UsageLedger } from "../usage/usageLedger.js";
import type { ConfigurationCommand, ConfigurationOutcome } from "./configurationCommand.js";
import { ConfigurationSection } from "./configurationSection.js";
import type { ConfigurationSectionSnapshot } from "./configurationSection.js";

/** A command of the control processes' replicated log, addressed to one section of the state. */
export type ControlCommand =
    | { readonly section: "configuration"; readonly command: ConfigurationCommand; }
    | { readonly section: "usage"; readonly command: UsageCommand; }
    | { readonly section: "claims"; readonly command: ClaimCommand; }
    | { readonly section: "platform"; readonly command: PlatformCommand; };

/** The outcome of applying a command. */
export type ControlOutcome =
    | { readonly section: "configuration"; readonly outcome: ConfigurationOutcome; }
    | { readonly section: "usage"; readonly outcome: UsageCommandOutcome; }
    | { readonly section: "claims"; readonly outcome: ClaimOutcome; }
    | { readonly section: "platform"; readonly outcome: PlatformOutcome; }
    /** The section threw on the command; any changes it made before are the same on all members. */
    | { readonly section: "rejected"; readonly reason: string; };

/** The complete state as plain data, encoded in snapshots. */
interface ControlStateSnapshot {
    readonly configuration: ConfigurationSectionSnapshot;
    readonly usage: ReturnType<UsageLedger["snapshot"]>;
    readonly claims: ReturnType<ClaimTable["snapshot"]>;
    readonly platform: ReturnType<ActLedger["snapshot"]>;
}

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** The state that every control process derives from the replicated log, with one section per subject. */
export class ControlState extends StateMachine<ControlCommand, ControlOutcome> {
    readonly configuration = new ConfigurationSection();
    readonly usage = new UsageLedger();
    readonly claims = new ClaimTable();
    readonly platform = new ActLedger();

    /** @param onApplied Called after each applied command. */
    constructor(private readonly onApplied: () => void = () => undefined) {
        super();
    }

    override apply(command: ControlCommand): ControlOutcome {
        const outcome = this.applyOrReject(command);
        this.onApplied();
        return outcome;
    }

    /**
     * Turns an exception into a rejection, as a command on which a section throws would otherwise stop every member.
     */
    private applyOrReject(command: ControlCommand): ControlOutcome {
        try {
            return this.applyToSection(command);
        }
        catch (error) {
            return { section: "rejected", reason: error instanceof Error ? error.message : String(error) };
        }
    }

    private applyToSection(command: ControlCommand): ControlOutcome {
        return match(command)
            .returnType<ControlOutcome>()
            .with({ section: "configuration" }, ({ section, command: change }) => ({
                section,
                outcome: this.configuration.apply(change),
            }))
            .with({ section: "usage" }, ({ section, command: usage }) => ({ section, outcome: this.applyUsage(usage) }))
            .with({ section: "claims" }, ({ section, command: claim }) => ({
                section,
                outcome: this.claims.apply(claim, incarnation => this.isRunning(incarnation)),
            }))
            .with({ section: "platform" }, ({ section, command: act }) => ({
                section,
                outcome: this.platform.apply(act),
            }))
            .exhaustive();
    }

    override snapshot(): Uint8Array {
        const data: ControlStateSnapshot = {
            configuration: this.configuration.snapshot(),
            usage: this.usage.snapshot(),
            claims: this.claims.snapshot(),
            platform: this.platform.snapshot(),
        };
        return encoder.encode(data);
    }

    override restore(snapshot: Uint8Array): void {
        const data = decoder.decode(snapshot) as ControlStateSnapshot;
        this.configuration.restore(data.configuration);
        this.usage.restore(data.usage);
        this.claims.restore(data.claims);
        this.platform.restore(data.platform);
        this.onApplied();
    }

    /** Applies a usage command; the end of an incarnation is also applied to its claims. */
    private applyUsage(command: UsageCommand): UsageCommandOutcome {
        const outcome = this.usage.apply(command);
        if (command.kind === "endIncarnation") {
            this.claims.apply(command, incarnation => this.isRunning(incarnation));
        }
        return outcome;
    }

    private isRunning(incarnation: string): boolean {
        const registered = this.usage.incarnations.find(incarnation);
        return registered !== undefined && registered.endedAt === undefined;
    }
}

import { StateMachine } from "../../../src/process/replicatedLog/commandLog.js";

/** A state machine that records every command with its position. */
export class CommandRecorder extends StateMachine<string, number> {
    readonly applied: { readonly position: number; readonly command: string; }[] = [];

    override apply(command: string, position: number): number {
        this.applied.push({ position, command });
        return this.applied.length;
    }

    override snapshot(): Uint8Array {
        return Buffer.from(JSON.stringify(this.applied));
    }

    override restore(snapshot: Uint8Array): void {
        const applied = JSON.parse(Buffer.from(snapshot).toString()) as typeof this.applied;
        this.applied.splice(0, Infinity, ...applied);
    }

    /** The commands without their positions. */
    get commands(): readonly string[] {
        return this.applied.map(({ command }) => command);
    }
}

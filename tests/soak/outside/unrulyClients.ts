import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import type { Milliseconds } from "../../../src/util/clock.js";
import type { RandomSource } from "../../../src/util/randomSource.js";
import { splitAddress } from "../../../src/util/socketAddress.js";
import { anonymousContents } from "../../crowd/crowdContents.js";
import type { SoakInstallation } from "../soakInstallation.js";

/** Size of one write, in bytes. */
const writeSize = 64 * 1024;

/** Upper bound of the time for which a connection is open. */
const maximumConnectionTime: Milliseconds = 4_000;

const contents = Object.values(anonymousContents).map(content => {
    return Buffer.concat(Array<Buffer>(Math.ceil(writeSize / content.length)).fill(content));
});

/** Clients that send requests ahead, of all forms, to entries and control processes, and read nothing. */
export class UnrulyClients {
    constructor(
        private readonly installation: SoakInstallation,
        private readonly random: RandomSource,
        private readonly signal: AbortSignal,
    ) {}

    /** Opens one connection after the other until the signal is aborted. */
    async run(): Promise<void> {
        const { installation, random, signal } = this;
        const addresses = [
            ...installation.entries.map(entry => installation.callerAddress(entry)),
            ...installation.controls.map(control => installation.operatorAddress(control)),
        ];
        while (!signal.aborted) {
            const content = random.pick(contents) ?? Buffer.alloc(0);
            const socket = connect(splitAddress(random.pick(addresses) ?? ""));
            const send = (): void => {
                socket.write(content);
            };
            socket.on("error", () => undefined);
            socket.on("connect", send).on("drain", send);
            await sleep(random.float() * maximumConnectionTime, undefined, { signal }).catch(() => undefined);
            socket.destroy();
        }
    }
}

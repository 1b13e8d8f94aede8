import fastCheck from "fast-check";
import { connect } from "node:net";
import { EventLog } from "../../src/logEvent/eventLog.js";
import { EntryProcess } from "../../src/process/entry/entryProcess.js";
import { entrySettingsSchema } from "../../src/settings/entrySettings.js";
import { SystemClock } from "../../src/util/clock.js";
import { splitAddress } from "../../src/util/socketAddress.js";
import { describe, it } from "../describe.js";
import { mutatedBytes } from "./mutatedText.js";

const body = "{\"model\":\"m\",\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}";

const validRequest = Buffer.from(
    "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer ghk_x\r\nconnection: close\r\n"
        + `content-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
);

/** Sends bytes and closes the sending side of the connection; resolves with all received bytes. */
function sendBytes(address: string, bytes: Buffer): Promise<string> {
    return new Promise(resolve => {
        const { host, port } = splitAddress(address);
        const socket = connect({ host, port });
        let received = "";
        socket.on("data", (chunk: Buffer) => {
            received += chunk.toString("latin1");
        });
        socket.on("error", () => undefined);
        socket.once("close", () => {
            resolve(received);
        });
        socket.end(bytes);
    });
}

describe("bytes from callers", () => {
    it("never stop an entry from responding", async t => {
        const settings = entrySettingsSchema.parse({
            cluster: "test",
            name: "entry-1",
            failureDomain: "hobart-a",
            logStyle: "hidden",
            callerAddress: "127.0.0.1:0",
            controlAddresses: [],
            discoverySeconds: 1,
        });
        await using entry = new EntryProcess(settings, new SystemClock(), new EventLog("entry-1", "hidden"));
        const { callerAddress } = await entry.start();
        const response = await sendBytes(callerAddress, validRequest);
        t.regex(response, /^HTTP\/1\.1 503 [^]*GH1310/);
        const arbitraryBytes = fastCheck.uint8Array({ maxLength: 300 }).map(bytes => Buffer.from(bytes));
        await fastCheck.assert(
            fastCheck.asyncProperty(fastCheck.oneof(mutatedBytes(validRequest), arbitraryBytes), async bytes => {
                const received = await sendBytes(callerAddress, bytes);
                t.true(received === "" || /^HTTP\/1\.1 \d{3} /.test(received));
            }),
            { seed: 41, numRuns: 300 },
        );
        t.regex(await sendBytes(callerAddress, validRequest), /^HTTP\/1\.1 503 [^]*GH1310/);
    });
});

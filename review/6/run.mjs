/** Replicas break off some of their answers, which have no length, by a reset of the channel. */
import { randomBytes } from "node:crypto";
import { createServer } from "node:net";
import { dirname } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { bodyOf, exitBroken, exitCannotRun, exitHeld, runCase, serviceName } from "../lib-2/installation.mjs";

/** Every twentieth answer is broken off: `x` 0.05 of the site file's entry. */
const answersPerFault = 20;

/** How long replicas break off answers: `for_s` of the site file's entry. */
const faultTime = 5_000;

/** The disruption comes more than once. */
const faultCount = 8;

/** Bytes of the body that are sent before the channel is reset. */
const partialBytes = 500;

/** Interval between two requests of consumers to each of the two entries. */
const requestInterval = 20;

/** Replica whose answers have no length and end with their channel. */
class UnframedReplica {
    constructor(record, address, zone) {
        Object.assign(this, { record, address, zone });
        this.identifier = `i-${randomBytes(4).toString("hex")}`;
        this.isFaulty = false;
        this.answers = 0;
        this.brokenOff = 0;
        this.sockets = new Set();
        this.server = createServer(socket => {
            this.serve(socket);
        });
    }

    get row() {
        const { identifier, address, zone } = this;
        return {
            identifier,
            "service": serviceName,
            address,
            zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold-remaining-ms": 0,
            "born": 1_800_000_000_000,
        };
    }

    async start() {
        const [host, port] = this.address.split(":");
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(Number(port), host, resolve);
        });
    }

    stop() {
        this.server.close();
        this.sockets.forEach(socket => socket.destroy());
    }

    serve(socket) {
        this.sockets.add(socket);
        socket.once("close", () => this.sockets.delete(socket));
        socket.on("error", () => undefined);
        let received = "";
        socket.on("data", bytes => {
            received += bytes.toString("latin1");
            // The requests of this case have no body.
            if (received.endsWith("\r\n\r\n")) {
                this.answer(socket, received);
            }
        });
    }

    answer(socket, request) {
        const id = /^gullhall-attempt-id: (\S+)/im.exec(request)?.[1];
        const target = /^gullhall-target-instance: (\S+)/im.exec(request)?.[1];
        if (target !== this.identifier) {
            socket.end("HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            return;
        }
        this.answers++;
        const head = "HTTP/1.1 200 OK\r\n"
            + `Gullhall-Attempt-Id: ${id}\r\nGullhall-Response-Signature: proof.${id}\r\nConnection: close\r\n\r\n`;
        if (!this.isFaulty || this.answers % answersPerFault !== 0) {
            socket.end(head + bodyOf(id));
            return;
        }
        this.brokenOff++;
        this.record.write(
            `replica ${this.identifier} resets its channel after ${partialBytes} bytes of the body for ${id}`,
        );
        socket.write(head + bodyOf(id).slice(0, partialBytes), () => {
            socket.resetAndDestroy();
        });
    }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (installation, record, hasTrouble) => {
    const { platform } = installation;
    await platform.start();
    const [sound, faulty] = [150, 151].map(number =>
        new UnframedReplica(record, installation.addressOf(number, "replica"), number === 150 ? "hobart-a" : "hobart-b")
    );
    for (const replica of [sound, faulty]) {
        await replica.start();
        installation.replicas.push(replica);
        platform.replicas.push(replica);
    }
    const controls = [11, 12, 13].map((number, index) =>
        installation.addMachine(`core-${index + 1}`, "control", number)
    );
    const entries = [41, 42].map((number, index) => installation.addMachine(`front-${index + 1}`, "entry", number));
    const seeds = controls.map(({ operatorAddress }) => operatorAddress);
    for (const machine of [...controls, ...entries]) {
        await machine.writeSettings({ seeds, bootstrap: true });
        machine.start();
    }
    if (!await installation.applyNext(15_000)) {
        return exitCannotRun;
    }
    await sleep(2_000);
    let served = 0;
    let partial = 0;
    for (let fault = 1; fault <= faultCount; fault++) {
        faulty.isFaulty = hasTrouble;
        const sent = await installation.sendRequests(faultTime, `part ${fault}`, requestInterval);
        faulty.isFaulty = false;
        served += sent.served;
        partial += sent.partial;
        await sleep(1_000);
    }
    record.write(`answers that were broken off by a reset: ${faulty.brokenOff}; delivered as complete: ${partial}`);
    if (served === 0 || (hasTrouble && faulty.brokenOff === 0)) {
        return exitCannotRun;
    }
    return partial > 0 ? exitBroken : exitHeld;
});

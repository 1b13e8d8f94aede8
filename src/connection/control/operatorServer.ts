import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { match, P } from "ts-pattern";
import { z } from "zod";
import type { ConfigurationService } from "../../process/control/configurationService.js";
import type { EntryTable } from "../../process/control/entryTable.js";
import type { CommandLog } from "../../process/replicatedLog/commandLog.js";
import type { ControlCommand, ControlOutcome, ControlState } from "../../process/state/controlState.js";
import { failure } from "../../resultCode/resultCode.js";
import type { Failure } from "../../resultCode/resultCode.js";
import { nameSchema } from "../../settings/commonSettings.js";
import type { ControlSettings } from "../../settings/controlSettings.js";
import type { Clock, Milliseconds } from "../../util/clock.js";
import { keyDigest } from "../../util/keyDigest.js";
import { Err, Ok } from "../../util/result.js";
import type { Result } from "../../util/result.js";
import { listen } from "../../util/socketAddress.js";
import { answerFailure, answerJson } from "../httpAnswer.js";
import { readBody } from "../httpBody.js";

/** Largest accepted manifest, in bytes. */
const maximumManifestBytes = 64 * 1024 * 1024;

/** Largest accepted body of other calls, in bytes. */
const maximumCallBytes = 64 * 1024;

/** Longest wait for a version to be in force everywhere, in milliseconds. */
const maximumInForceWait: Milliseconds = 30_000;

/** How often a wait looks at permits that end, in milliseconds. */
const inForceInterval: Milliseconds = 50;

const issueKeySchema = z.strictObject({
    team: nameSchema,
    name: nameSchema,
    digest: z.string().regex(/^[0-9a-f]{64}$/),
});
const withdrawKeySchema = z.strictObject({ digest: z.string().regex(/^[0-9a-f]{64}$/) });

/** What the server uses. */
export interface OperatorServerOptions {
    readonly settings: ControlSettings;
    readonly clock: Clock;
    readonly state: ControlState;
    readonly configuration: ConfigurationService;
    readonly entries: EntryTable;
    readonly commandLog: CommandLog<ControlCommand, ControlOutcome>;
    /** Address to listen on. */
    readonly address: string;
}

/** Answers the operators' calls over HTTP; each call carries an operator's token. */
export class OperatorServer implements AsyncDisposable {
    private readonly server = createServer((request, response) => {
        void this.answer(request, response);
    });

    constructor(private readonly options: OperatorServerOptions) {}

    /** Starts to listen; resolves with the bound address. */
    start(): Promise<string> {
        return listen(this.server, this.options.address);
    }

    async [Symbol.asyncDispose](): Promise<void> {
        await new Promise<void>(resolve => {
            this.server.close(() => {
                resolve();
            });
            this.server.closeIdleConnections();
        });
    }

    private async answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const operator = this.operatorOf(request);
        if (operator === undefined) {
            answerFailure(response, failure("operatorUnauthorized"));
            return;
        }
        const { pathname, searchParams } = new URL(request.url ?? "/", "http://control");
        await match([request.method, pathname] as const)
            .with(["PUT", "/v1/manifest"], () => this.submitManifest(request, response, operator))
            .with(["GET", "/v1/manifest"], () => {
                answerJson(response, 200, this.options.state.configuration.current.manifest ?? {});
            })
            .with(["POST", "/v1/keys/issue"], () => this.issueKey(request, response, operator))
            .with(["POST", "/v1/keys/withdraw"], () => this.withdrawKey(request, response, operator))
            .with(["GET", "/v1/in-force"], () => this.waitInForce(response, Number(searchParams.get("version"))))
            .with(["GET", "/v1/status"], () => {
                answerJson(response, 200, this.status());
            })
            .with([P._, P._], ([method, path]) => {
                answerFailure(response, failure("requestUnknown", { method: method ?? "?", path }));
            })
            .exhaustive();
    }

    private operatorOf(request: IncomingMessage): string | undefined {
        const token = /^Bearer (.+)$/.exec(request.headers.authorization ?? "")?.[1];
        if (token === undefined) {
            return undefined;
        }
        const digest = keyDigest(token);
        return this.options.settings.operators.find(operator => operator.tokenDigest === digest)?.name;
    }

    private async submitManifest(request: IncomingMessage, response: ServerResponse, operator: string): Promise<void> {
        const body = await readBody(request, maximumManifestBytes);
        if (body.err) {
            answerFailure(response, body.val);
            return;
        }
        const name = request.headers["x-file-name"];
        const file = typeof name === "string" ? name : "manifest";
        const accepted = await this.options.configuration.submit(file, body.val.toString("utf8"), operator);
        if (accepted.ok) {
            answerJson(response, 200, accepted.val);
            return;
        }
        const [first] = accepted.val;
        const faults = accepted.val;
        const decided = faults.length === 1 && first?.code.startsWith("manifest") === true;
        const summary = decided ? first : failure("manifestInvalid", { count: faults.length });
        const unavailable = faults.find(({ code }) => code === "quorumUnavailable" || code === "notLeader");
        answerFailure(response, unavailable ?? summary, {}, faults);
    }

    private async issueKey(request: IncomingMessage, response: ServerResponse, operator: string): Promise<void> {
        const call = await readCall(request, issueKeySchema);
        if (call.err) {
            answerFailure(response, call.val);
            return;
        }
        const { team, name, digest } = call.val;
        answerResult(response, await this.options.configuration.issueKey(team, { name, digest }, operator));
    }

    private async withdrawKey(request: IncomingMessage, response: ServerResponse, operator: string): Promise<void> {
        const call = await readCall(request, withdrawKeySchema);
        if (call.err) {
            answerFailure(response, call.val);
            return;
        }
        answerResult(response, await this.options.configuration.withdrawKey(call.val.digest, operator));
    }

    /** Answers when no entry can still serve with an older version. */
    private async waitInForce(response: ServerResponse, version: number): Promise<void> {
        const { clock, entries, commandLog } = this.options;
        const end = clock.now() + maximumInForceWait;
        for (;;) {
            const term = commandLog.leadingTerm();
            if (term === undefined) {
                answerFailure(response, failure("notLeader", { leader: commandLog.leaderAddress() ?? "unknown" }));
                return;
            }
            const now = clock.now();
            entries.enterTerm(term, now);
            const behind = entries.behind(version, now);
            const complete = behind.length === 0 && !entries.mayMissEntries(now);
            if (complete) {
                answerJson(response, 200, { version });
                return;
            }
            if (now >= end || response.destroyed) {
                const names = behind.map(record => record.entry).join(", ");
                answerFailure(response, failure("waitTimedOut", { version, entries: names }));
                return;
            }
            await clock.sleep(inForceInterval);
        }
    }

    private status(): unknown {
        const { state, entries, clock, settings, commandLog } = this.options;
        return {
            control: settings.name,
            leader: commandLog.leaderAddress(),
            leadingTerm: commandLog.leadingTerm(),
            version: state.configuration.current.version,
            manifest: state.configuration.newestManifest,
            entries: entries.all(clock.now()),
        };
    }
}

function answerResult(response: ServerResponse, result: Result<unknown, Failure>): void {
    if (result.err) {
        answerFailure(response, result.val);
        return;
    }
    answerJson(response, 200, result.val);
}

async function readCall<Schema extends z.ZodType>(
    request: IncomingMessage,
    schema: Schema,
): Promise<Result<z.output<Schema>, Failure>> {
    const body = await readBody(request, maximumCallBytes);
    if (body.err) {
        return body;
    }
    try {
        const call = schema.safeParse(JSON.parse(body.val.toString("utf8")));
        return call.success ? Ok(call.data) : Err(failure("requestMalformed", { reason: z.prettifyError(call.error) }));
    }
    catch {
        return Err(failure("requestMalformed", { reason: "not JSON" }));
    }
}

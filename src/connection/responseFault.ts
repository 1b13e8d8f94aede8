import { match, P } from "ts-pattern";

/** Why a response is missing, incomplete or invalid. */
export type ResponseFault =
    /** The connection was reset. */
    | "reset"
    /** The connection ended in order before the response was complete. */
    | "endedEarly"
    /** The status line is malformed, or HTTP does not define its status. */
    | "invalidStatus"
    /** A header is malformed. */
    | "invalidHeader"
    /** The length or the chunks of the body are malformed. */
    | "invalidFraming"
    /** The connection failed, or the bytes are no response, in another way. */
    | "other";

const statusErrors = ["HPE_INVALID_CONSTANT", "HPE_INVALID_VERSION", "HPE_INVALID_STATUS"] as const;

const headerErrors = [
    "HPE_INVALID_HEADER_TOKEN",
    "HPE_UNEXPECTED_SPACE",
    "HPE_HEADER_OVERFLOW",
    "HPE_CR_EXPECTED",
    "HPE_LF_EXPECTED",
] as const;

const framingErrors = [
    "HPE_INVALID_CONTENT_LENGTH",
    "HPE_UNEXPECTED_CONTENT_LENGTH",
    "HPE_INVALID_TRANSFER_ENCODING",
    "HPE_INVALID_CHUNK_SIZE",
    "HPE_CHUNK_EXTENSIONS_OVERFLOW",
] as const;

/** What an error of a request, as `node:http` reports it, says of the response. */
export function responseFaultOf(error: NodeJS.ErrnoException): ResponseFault {
    return match(error)
        .returnType<ResponseFault>()
        .with({ code: "ECONNRESET", syscall: P.string }, { code: "EPIPE" }, () => "reset")
        // Without a system call, `node:http` reports the end of a connection under this code.
        .with({ code: "ECONNRESET" }, () => "endedEarly")
        .with({ code: P.union(...statusErrors) }, () => "invalidStatus")
        .with({ code: P.union(...headerErrors) }, () => "invalidHeader")
        .with({ code: P.union(...framingErrors) }, () => "invalidFraming")
        .otherwise(() => "other");
}

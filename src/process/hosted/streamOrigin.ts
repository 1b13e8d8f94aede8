/** What began a stream: only endpoints of the same service and software version can continue it. */
export interface StreamOrigin {
    readonly service: string;
    /** Undefined if the platform does not state the version; such a stream cannot be continued. */
    readonly softwareVersion: string | undefined;
}

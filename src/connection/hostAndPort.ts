/** An IP number and a port. */
export interface HostAndPort {
    readonly host: string;
    readonly port: number;
}

/** Parts an address of the form `host:port` or `[host]:port`; undefined when it has another form. */
export function parseHostAndPort(address: string): HostAndPort | undefined {
    const parts = /^(?:\[([0-9a-fA-F:]+)\]|([^:]+)):(\d{1,5})$/.exec(address);
    const host = parts?.[1] ?? parts?.[2];
    const port = Number(parts?.[3]);
    return host === undefined || port > 65_535 ? undefined : { host, port };
}

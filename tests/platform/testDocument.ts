/** A configuration in the platform's format, as operators submit it. */
export function documentOf(version: number, changes: object = {}): object {
    return {
        version,
        routes: [
            {
                "name": "drafts",
                "host": "calls.example",
                "path-prefix": "/drafts/",
                "kind": "streaming",
                "timeout-ms": 12_000,
                "target-latency-ms": 400,
                "gap-target-ms": 150,
                "priority": 0,
                "service": "engines",
                "attempts": 1,
                "resumable": false,
            },
            {
                "name": "bookings",
                "host": "calls.example",
                "path-prefix": "/bookings/",
                "kind": "unsafe",
                "timeout-ms": 1_200,
                "priority": 2,
                "traffic-split": [{ service: "desk", weight: 90 }, { service: "engines", weight: 10 }],
                "attempts": 1,
            },
        ],
        services: [
            { "name": "engines", "health-check-path": "/health", "engine": { "slots": 8, "kv-cache-tokens": 1000 } },
            { "name": "desk", "health-check-path": "/health", "connection-limit": 50 },
        ],
        limits: {
            "max-header-bytes": 16_384,
            "max-body-bytes": 1_000_000,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        tenants: [{ name: "clinic", keys: ["key-1", "key-2"], priority: 1 }],
        ...changes,
    };
}

import { EventLoopDelayMonitor } from "../../../src/process/metrics/eventLoopDelayMonitor.js";
import { ExpositionWriter } from "../../../src/process/metrics/expositionWriter.js";
import { describe, it } from "../../describe.js";
import { VirtualClock } from "../platform/virtualClock.js";

describe("EventLoopDelayMonitor", () => {
    it("counts only the time by which a tick is late, each time anew", t => {
        const clock = new VirtualClock();
        using monitor = new EventLoopDelayMonitor(clock);
        const startedAt = clock.now();
        [250, 500, 3_750, 4_000].forEach(tickAt => {
            monitor.recordTick(startedAt + tickAt);
        });
        const writer = new ExpositionWriter();
        monitor.write(writer);
        const page = writer.toString();
        t.regex(page, /^gullhall_event_loop_delay_seconds\{quantile="0.5"\} 0$/m);
        t.regex(page, /^gullhall_event_loop_delay_seconds_count 4$/m);
        const longest = Number(/^gullhall_event_loop_delay_maximum_seconds (.+)$/m.exec(page)?.[1]);
        t.true(Math.abs(longest - 3) < 0.05, String(longest));
    });
});

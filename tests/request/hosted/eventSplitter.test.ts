import { EventSplitter } from "../../../src/request/hosted/eventSplitter.js";
import { describe, it } from "../../describe.js";

const firstEvent = "id: 1\ndata: a\n\n";
const secondEvent = "id: 2\ndata: b\n\n";

describe("EventSplitter", () => {
    it("returns only complete events", t => {
        const splitter = new EventSplitter(undefined);
        t.is(splitter.push(Buffer.from("id: 1\nda")), undefined);
        const events = splitter.push(Buffer.from(`ta: a\n\n${secondEvent}id: 3`));
        t.is(events?.bytes.toString(), firstEvent + secondEvent);
        t.is(events?.lastId, 2);
        t.is(splitter.incomplete.toString(), "id: 3");
    });

    it("finds an event boundary that is split between two chunks", t => {
        const splitter = new EventSplitter(undefined);
        t.is(splitter.push(Buffer.from("id: 1\ndata: a\n")), undefined);
        t.is(splitter.push(Buffer.from("\n"))?.bytes.toString(), firstEvent);
    });

    it("finds event boundaries of carriage returns and line feeds, split anywhere", t => {
        const events = `${firstEvent}${secondEvent}`.replaceAll("\n", "\r\n");
        for (let split = 1; split < events.length; split++) {
            const splitter = new EventSplitter(undefined);
            const parts = [events.slice(0, split), events.slice(split)].map(part => splitter.push(Buffer.from(part)));
            t.is(parts.map(part => part?.bytes.toString() ?? "").join(""), events);
            t.is(splitter.incomplete.length, 0);
            t.is(parts.at(-1)?.lastId, 2);
        }
    });

    it("drops events that the caller already has", t => {
        const splitter = new EventSplitter(1);
        t.is(splitter.push(Buffer.from(firstEvent)), undefined);
        const events = splitter.push(Buffer.from(firstEvent + secondEvent));
        t.is(events?.bytes.toString(), secondEvent);
    });

    it("keeps events without an id", t => {
        t.is(new EventSplitter(4).push(Buffer.from("data: a\n\n"))?.lastId, undefined);
        t.is(new EventSplitter(4).push(Buffer.from("data: a\n\n"))?.bytes.toString(), "data: a\n\n");
    });
});

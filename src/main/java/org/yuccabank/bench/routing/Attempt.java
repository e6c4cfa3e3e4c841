package org.yuccabank.bench.routing;

/** Attempt of a request, sent by an entry to a target. Mutable. */
final class Attempt {

    private final Request request;
    private final EntryDriver entry;
    private final FakeTarget target;
    private final long sentAtMicros;
    private boolean ended;

    Attempt(Request request, EntryDriver entry, FakeTarget target, long sentAtMicros) {
        this.request = request;
        this.entry = entry;
        this.target = target;
        this.sentAtMicros = sentAtMicros;
    }

    Request request() {
        return request;
    }

    EntryDriver entry() {
        return entry;
    }

    FakeTarget target() {
        return target;
    }

    long sentAtMicros() {
        return sentAtMicros;
    }

    /** Marks the attempt as ended and returns whether it was still open. */
    boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}

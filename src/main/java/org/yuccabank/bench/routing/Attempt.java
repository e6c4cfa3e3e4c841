package org.yuccabank.bench.routing;

/** One attempt of a request on its way from an entry to a target and back. Mutable. */
final class Attempt {

    private final Request request;
    private final EntryDriver entry;
    private final FakeTarget target;
    private final long sentAtMicros;
    private boolean ended;

    Attempt(Request request, EntryDriver entry, FakeTarget target, long sentMicros) {
        this.request = request;
        this.entry = entry;
        this.target = target;
        this.sentAtMicros = sentMicros;
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

    /** Ends the attempt for its entry; false if it had ended before. */
    boolean markEnded() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}

package org.yuccabank.agent;

import com.google.protobuf.ByteString;

/**
 * The result of a request to the target. Immutable.
 *
 * @param kind whether a complete response was received
 * @param status HTTP status of the response, 0 without one
 * @param body body of the response
 * @param contentType content type of the response
 * @param detail why no response was received, otherwise empty
 */
record ServeResult(Kind kind, int status, ByteString body, String contentType, String detail) {

    /** The outcome of a request: tells whether a complete response was received. */
    enum Kind {
        /** A complete response was received. */
        ANSWERED,
        /** No connection could be opened, so the target did not receive the request. */
        NOT_SENT,
        /** The request was sent, but no complete response was received. */
        UNCERTAIN
    }

    static ServeResult answered(int status, ByteString body, String contentType) {
        return new ServeResult(Kind.ANSWERED, status, body, contentType, "");
    }

    static ServeResult failed(Kind kind, String detail) {
        return new ServeResult(kind, 0, ByteString.EMPTY, "", detail);
    }
}

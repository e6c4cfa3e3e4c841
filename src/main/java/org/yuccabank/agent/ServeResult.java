package org.yuccabank.agent;

import com.google.protobuf.ByteString;

/**
 * How a request to the target ended. Immutable.
 *
 * @param kind whether the whole response came
 * @param status HTTP status of the response
 * @param body body of the response
 * @param contentType content type of the response
 * @param detail reason if no response came
 */
record ServeResult(Kind kind, int status, ByteString body, String contentType, String detail) {

    /** Whether the whole response came. */
    enum Kind {
        /** The whole response came. */
        ANSWERED,
        /** No connection could be opened, so the target did not get the request. */
        NOT_SENT,
        /** The request was sent and no whole response came. */
        UNCERTAIN
    }

    static ServeResult answered(int status, ByteString body, String contentType) {
        return new ServeResult(Kind.ANSWERED, status, body, contentType, "");
    }

    static ServeResult failed(Kind kind, String detail) {
        return new ServeResult(kind, 0, ByteString.EMPTY, "", detail);
    }
}

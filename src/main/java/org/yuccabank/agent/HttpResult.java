package org.yuccabank.agent;

/**
 * The result of an HTTP request. Immutable.
 *
 * @param kind whether a complete response was received
 * @param status HTTP status, 0 without a response
 * @param body body of the response
 * @param contentType content type of the response
 * @param detail why no response was received, otherwise empty
 */
@SuppressWarnings("ArrayRecordComponent") // never compared; a copy would cost memory
record HttpResult(
        ServeResult.Kind kind, int status, byte[] body, String contentType, String detail) {

    private static final byte[] NO_BYTES = {};

    static HttpResult failed(ServeResult.Kind kind, String detail) {
        return new HttpResult(kind, 0, NO_BYTES, "", detail);
    }

    boolean isAnswered() {
        return kind == ServeResult.Kind.ANSWERED;
    }

    boolean isSuccess() {
        return isAnswered() && status / 100 == 2;
    }
}

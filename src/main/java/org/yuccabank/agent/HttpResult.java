package org.yuccabank.agent;

/**
 * How an HTTP request ended. Immutable.
 *
 * @param kind whether a whole response came
 * @param status HTTP status, 0 without a response
 * @param body body of the response
 * @param contentType content type of the response
 * @param detail reason if no response came
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

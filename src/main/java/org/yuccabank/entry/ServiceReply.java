package org.yuccabank.entry;

import com.google.protobuf.ByteString;

/** The outcome of a service request. */
sealed interface ServiceReply {

    /**
     * The request ran.
     *
     * @param status HTTP status of the target's response
     * @param contentType content type of the response
     * @param body complete body of the response
     * @param target the target that ran the request, or empty for a stored response
     */
    record Ran(int status, String contentType, ByteString body, String target)
            implements ServiceReply {}

    /**
     * The request did not run and will not run later.
     *
     * @param reason why the request was not run
     * @param retryAfterMillis delay after which a retry may succeed, in milliseconds
     */
    record NotRun(String reason, long retryAfterMillis) implements ServiceReply {}

    /**
     * The request may have run.
     *
     * @param reason why the outcome is unknown
     */
    record Unknown(String reason) implements ServiceReply {}

    /** The request is running or may still start; its outcome can be queried later. */
    record InProgress() implements ServiceReply {}

    /**
     * The request conflicts with an earlier request and is rejected.
     *
     * @param reason description of the conflict
     */
    record Conflict(String reason) implements ServiceReply {}
}

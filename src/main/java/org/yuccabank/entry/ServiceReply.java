package org.yuccabank.entry;

import com.google.protobuf.ByteString;

/** What became of a caller's request. */
sealed interface ServiceReply {

    /**
     * The request ran.
     *
     * @param status HTTP status of the target's answer
     * @param contentType content type of the answer
     * @param body the whole answer
     * @param target the target that ran it, empty if the answer was remembered
     */
    record Ran(int status, String contentType, ByteString body, String target)
            implements ServiceReply {}

    /**
     * The request did not run and will not run.
     *
     * @param reason why
     * @param retryAfterMillis when another try may succeed
     */
    record NotRun(String reason, long retryAfterMillis) implements ServiceReply {}

    /**
     * The request may have run.
     *
     * @param reason what is missing to know
     */
    record Unknown(String reason) implements ServiceReply {}

    /** The request is running or may still start; its outcome can be asked for later. */
    record InProgress() implements ServiceReply {}

    /**
     * The request cannot be accepted as it is.
     *
     * @param reason what is wrong
     */
    record Conflict(String reason) implements ServiceReply {}
}

package org.yuccabank.replication;

/**
 * A read for which the leader has confirmed its leadership.
 *
 * @param id identifier returned by the read request
 * @param readIndex log index that the state machine must have applied before the read is served
 */
record ConfirmedRead(long id, long readIndex) {}

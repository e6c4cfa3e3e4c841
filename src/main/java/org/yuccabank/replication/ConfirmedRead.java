package org.yuccabank.replication;

/**
 * A read that was confirmed.
 *
 * @param id number that the request returned
 * @param readIndex log position that the state machine must have applied
 */
record ConfirmedRead(long id, long readIndex) {}

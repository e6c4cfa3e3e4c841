package org.yuccabank.state;

/**
 * The log index and time of a command. Immutable.
 *
 * @param index log index of the command
 * @param nowMillis time at which the leader accepted it, in milliseconds since the epoch
 */
record CommandContext(long index, long nowMillis) {}

package org.yuccabank.protocol;

/**
 * Thrown when a request to another process of yuccabank fails.
 *
 * <p>{@link #isInDoubt()} returns whether the request may have reached the peer. Only a request
 * that is not in doubt may be reported as not run.
 */
public final class PeerException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean inDoubt;

    private PeerException(String message, boolean inDoubt) {
        super(message, null, false, false);
        this.inDoubt = inDoubt;
    }

    /**
     * Creates an exception for a request that was certainly not sent.
     *
     * @param message the detail message
     * @return the exception
     */
    public static PeerException notSent(String message) {
        return new PeerException(message, false);
    }

    /**
     * Creates an exception for a request that was written to a connection and got no reply.
     *
     * @param message the detail message
     * @return the exception
     */
    public static PeerException inDoubt(String message) {
        return new PeerException(message, true);
    }

    /**
     * Returns whether the request may have reached the peer.
     *
     * @return false only if the request was certainly not sent
     */
    public boolean isInDoubt() {
        return inDoubt;
    }
}

package org.yuccabank.protocol;

/**
 * Failure of a request to another process of yuccabank.
 *
 * <p>{@link #isInDoubt()} tells whether the request may have reached the peer. Only a request that
 * is not in doubt may be reported as "not run".
 */
public final class PeerException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final boolean inDoubt;

    private PeerException(String message, boolean inDoubt) {
        super(message, null, false, false);
        this.inDoubt = inDoubt;
    }

    /**
     * The request was surely not sent.
     *
     * @param message what failed
     * @return the exception
     */
    public static PeerException notSent(String message) {
        return new PeerException(message, false);
    }

    /**
     * The request was given to the connection and no reply came.
     *
     * @param message what failed
     * @return the exception
     */
    public static PeerException inDoubt(String message) {
        return new PeerException(message, true);
    }

    /**
     * Tells whether the request may have reached the peer.
     *
     * @return false only if the request was surely not sent
     */
    public boolean isInDoubt() {
        return inDoubt;
    }
}

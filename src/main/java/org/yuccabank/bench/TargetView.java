package org.yuccabank.bench;

/** What an entry knows about one instance of a service when it routes a request. */
public interface TargetView {

    /**
     * Requests that were sent and not answered.
     *
     * @return the number of requests in progress or queued at the instance
     */
    int inFlight();

    /**
     * Requests that the instance serves at one time.
     *
     * @return the number of slots
     */
    int slots();

    /**
     * Load that the instance named in its newest response.
     *
     * @return share of the slots in use, 0 to 1
     */
    double reportedUtilisation();

    /**
     * Whether the directory lists the instance.
     *
     * @return false for an instance that is lost or leaving
     */
    boolean available();
}

package org.yuccabank.bench;

/** State of a service instance as known to an entry when it routes a request. */
public interface TargetView {

    /**
     * Returns the number of requests in flight to the instance.
     *
     * @return the number of requests that were sent and not yet answered
     */
    int inFlight();

    /**
     * Returns the number of requests that the instance serves concurrently.
     *
     * @return the number of slots
     */
    int slots();

    /**
     * Returns the load that the instance reported in its latest response.
     *
     * @return share of the slots in use, 0 to 1
     */
    double reportedUtilisation();

    /**
     * Returns whether the directory lists the instance.
     *
     * @return false if the instance is lost or leaving
     */
    boolean available();
}

package org.yuccabank.model;

/**
 * Resource vector, such as the capacity of a host, a reservation or a usage. Immutable.
 *
 * @param processorMillis processors in thousandths of a core
 * @param memoryMebibytes memory in MiB
 * @param accelerators number of accelerators
 */
public record Resources(long processorMillis, long memoryMebibytes, int accelerators) {

    private static final Resources NONE = new Resources(0, 0, 0);

    /**
     * Returns the zero vector.
     *
     * @return the zero vector
     */
    public static Resources none() {
        return NONE;
    }

    /**
     * Creates a vector.
     *
     * @param processorMillis processors in thousandths of a core
     * @param memoryMebibytes memory in MiB
     * @param accelerators number of accelerators
     * @return the vector
     */
    public static Resources of(long processorMillis, long memoryMebibytes, int accelerators) {
        return new Resources(processorMillis, memoryMebibytes, accelerators);
    }

    /**
     * Returns the sum with another vector.
     *
     * @param other the vector to add
     * @return the sum
     */
    public Resources plus(Resources other) {
        return new Resources(
                processorMillis + other.processorMillis,
                memoryMebibytes + other.memoryMebibytes,
                accelerators + other.accelerators);
    }

    /**
     * Returns the difference from another vector, whose components may be negative.
     *
     * @param other the vector to subtract
     * @return the difference
     */
    public Resources minus(Resources other) {
        return new Resources(
                processorMillis - other.processorMillis,
                memoryMebibytes - other.memoryMebibytes,
                accelerators - other.accelerators);
    }

    /**
     * Returns this vector multiplied by a factor, with each component rounded up.
     *
     * @param factor the factor, not negative
     * @return the scaled vector
     */
    public Resources scaled(double factor) {
        return new Resources(
                (long) Math.ceil(processorMillis * factor),
                (long) Math.ceil(memoryMebibytes * factor),
                (int) Math.ceil(accelerators * factor));
    }

    /**
     * Returns the component-wise maximum with another vector.
     *
     * @param other the other vector
     * @return the maximum
     */
    public Resources componentwiseMaximum(Resources other) {
        return new Resources(
                Math.max(processorMillis, other.processorMillis),
                Math.max(memoryMebibytes, other.memoryMebibytes),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Returns whether no component exceeds that of a limit.
     *
     * @param limit the limit
     * @return true if it fits
     */
    public boolean fitsWithin(Resources limit) {
        return processorMillis <= limit.processorMillis
                && memoryMebibytes <= limit.memoryMebibytes
                && accelerators <= limit.accelerators;
    }

    /**
     * Returns the dominant share: the largest ratio of a component to that of a total.
     *
     * @param total the total
     * @return the dominant share; components that are 0 in the total count as 0
     */
    public double dominantShare(Resources total) {
        double processorShare = ratio(processorMillis, total.processorMillis);
        double memoryShare = ratio(memoryMebibytes, total.memoryMebibytes);
        double acceleratorShare = ratio(accelerators, total.accelerators);
        return Math.max(processorShare, Math.max(memoryShare, acceleratorShare));
    }

    private static double ratio(long part, long whole) {
        return whole == 0 ? 0 : (double) part / whole;
    }
}

package org.yuccabank.model;

/**
 * A vector of resources: the capacity of a host, a reservation or a usage. Immutable.
 *
 * @param processorMillis processors in thousandths of a core
 * @param memoryMebibytes memory in MiB
 * @param accelerators number of accelerators
 */
public record Resources(long processorMillis, long memoryMebibytes, int accelerators) {

    private static final Resources NONE = new Resources(0, 0, 0);

    /**
     * The empty vector.
     *
     * @return no resources
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
     * Adds a vector.
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
     * Subtracts a vector; parts of the result may be negative.
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
     * Multiplies each part by a factor, rounding up.
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
     * The greater of each part.
     *
     * @param other the vector to compare with
     * @return the maximum of both, part by part
     */
    public Resources componentwiseMaximum(Resources other) {
        return new Resources(
                Math.max(processorMillis, other.processorMillis),
                Math.max(memoryMebibytes, other.memoryMebibytes),
                Math.max(accelerators, other.accelerators));
    }

    /**
     * Tells whether this vector is at most the given one in every part.
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
     * Largest share that this vector has of any part of a total.
     *
     * @param total the total
     * @return the dominant share, 0 for parts of which the total has none
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

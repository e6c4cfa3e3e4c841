package org.yuccabank.result;

import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/**
 * Outcome of an operation that can fail: either a {@link Success} with a value or a {@link Failure}
 * with at least one finding.
 *
 * <pre>{@code
 * Result<Duration> deadline = Durations.parse("300ms");
 * String text = deadline.fold(Findings::toString, Duration::toString);
 * }</pre>
 *
 * <p>Immutable and thread-safe if the value is.
 *
 * @param <T> type of the value
 */
public sealed interface Result<T> permits Result.Success, Result.Failure {

    /**
     * A successful outcome.
     *
     * @param value the value, not null
     * @param <T> type of the value
     */
    record Success<T>(T value) implements Result<T> {
        /** Validates the value. */
        public Success {
            Objects.requireNonNull(value, "value is null");
        }
    }

    /**
     * A failed outcome.
     *
     * @param findings the findings, never empty
     * @param <T> type of the value of a successful outcome
     */
    record Failure<T>(Findings findings) implements Result<T> {
        /** Validates the findings. */
        public Failure {
            Objects.requireNonNull(findings, "findings is null");
            if (findings.isEmpty()) {
                throw new IllegalArgumentException("a failure must have at least one finding");
            }
        }
    }

    /**
     * Creates a successful outcome.
     *
     * @param value the value
     * @param <T> type of the value
     * @return the outcome
     */
    static <T> Result<T> success(T value) {
        return new Success<>(value);
    }

    /**
     * Creates a failed outcome.
     *
     * @param findings the findings
     * @param <T> type of the value of a successful outcome
     * @return the outcome
     */
    static <T> Result<T> failure(Findings findings) {
        return new Failure<>(findings);
    }

    /**
     * Creates a failed outcome with one finding.
     *
     * @param position position of the error
     * @param message description of the error and of the expected input
     * @param <T> type of the value of a successful outcome
     * @return the outcome
     */
    static <T> Result<T> failure(SourcePosition position, String message) {
        return new Failure<>(Findings.of(new Finding(position, message)));
    }

    /**
     * Applies one of two functions to the findings or the value.
     *
     * @param onFailure applied to the findings
     * @param onSuccess applied to the value
     * @param <U> type of the result
     * @return the result of the applied function
     */
    default <U> U fold(
            Function<? super Findings, ? extends U> onFailure,
            Function<? super T, ? extends U> onSuccess) {
        if (this instanceof Success<T> success) {
            return onSuccess.apply(success.value());
        }
        return onFailure.apply(((Failure<T>) this).findings());
    }

    /**
     * Maps the value of a success.
     *
     * @param mapper applied to the value
     * @param <U> type of the mapped value
     * @return the mapped outcome; a failure is returned unchanged
     */
    default <U> Result<U> map(Function<? super T, ? extends U> mapper) {
        return fold(Result::failure, value -> success(mapper.apply(value)));
    }

    /**
     * Maps the value of a success by an operation that can fail.
     *
     * @param mapper applied to the value
     * @param <U> type of the mapped value
     * @return the outcome of the operation; a failure is returned unchanged
     */
    default <U> Result<U> flatMap(Function<? super T, Result<U>> mapper) {
        return fold(Result::failure, mapper);
    }

    /**
     * Returns whether this is a success.
     *
     * @return true for a success
     */
    default boolean isSuccess() {
        return this instanceof Success;
    }

    /**
     * Returns the value as an optional.
     *
     * @return the value of a success, empty for a failure
     */
    default Optional<T> toOptional() {
        return fold(findings -> Optional.empty(), Optional::of);
    }

    /**
     * Returns the findings.
     *
     * @return the findings of a failure, empty for a success
     */
    default Findings findings() {
        return fold(Function.identity(), value -> Findings.empty());
    }

    /**
     * Returns the value of an outcome that is known to be a success.
     *
     * @return the value
     * @throws IllegalStateException if this is a failure
     */
    default T get() {
        return toOptional().orElseThrow(() -> new IllegalStateException(findings().toString()));
    }
}

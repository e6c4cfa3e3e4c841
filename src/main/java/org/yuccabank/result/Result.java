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
 * <p>Immutable and safe for use by several threads if the value is.
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
        /** Checks the value. */
        public Success {
            Objects.requireNonNull(value, "value is null");
        }
    }

    /**
     * A failed outcome.
     *
     * @param findings what is wrong, never empty
     * @param <T> type of the value that is missing
     */
    record Failure<T>(Findings findings) implements Result<T> {
        /** Checks that something was found. */
        public Failure {
            Objects.requireNonNull(findings, "findings is null");
            if (findings.isEmpty()) {
                throw new IllegalArgumentException("a failure needs at least one finding");
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
     * @param findings what is wrong
     * @param <T> type of the value that is missing
     * @return the outcome
     */
    static <T> Result<T> failure(Findings findings) {
        return new Failure<>(findings);
    }

    /**
     * Creates a failed outcome with one finding.
     *
     * @param position where it was found
     * @param message what is wrong and what would be right
     * @param <T> type of the value that is missing
     * @return the outcome
     */
    static <T> Result<T> failure(SourcePosition position, String message) {
        return new Failure<>(Findings.of(new Finding(position, message)));
    }

    /**
     * Takes the outcome apart.
     *
     * @param onFailure applied to the findings
     * @param onSuccess applied to the value
     * @param <U> type of the result
     * @return what the applied function returned
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
     * Transforms the value.
     *
     * @param mapper applied to the value
     * @param <U> type of the new value
     * @return the transformed outcome; a failure stays as it is
     */
    default <U> Result<U> map(Function<? super T, ? extends U> mapper) {
        return fold(Result::failure, value -> success(mapper.apply(value)));
    }

    /**
     * Continues with another operation that can fail.
     *
     * @param mapper applied to the value
     * @param <U> type of the new value
     * @return the outcome of the second operation, or this failure
     */
    default <U> Result<U> flatMap(Function<? super T, Result<U>> mapper) {
        return fold(Result::failure, mapper);
    }

    /**
     * Tells whether this is a success.
     *
     * @return true for a success
     */
    default boolean isSuccess() {
        return this instanceof Success;
    }

    /**
     * The value, if any.
     *
     * @return the value of a success, empty for a failure
     */
    default Optional<T> toOptional() {
        return fold(findings -> Optional.empty(), Optional::of);
    }

    /**
     * The findings.
     *
     * @return the findings of a failure, none for a success
     */
    default Findings findings() {
        return fold(Function.identity(), value -> Findings.empty());
    }

    /**
     * The value of an outcome that is known to be a success.
     *
     * @return the value
     * @throws IllegalStateException if this is a failure
     */
    default T get() {
        return toOptional().orElseThrow(() -> new IllegalStateException(findings().toString()));
    }
}

package org.yuccabank.verify;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests the checker with histories whose verdict is known. */
public final class LinearizabilityCheckerTest {

    private static History.Entry entry(
            Operation.Kind kind, long argument, long start, long end, long value) {
        Operation operation = new Operation(1, start, kind, argument);
        return new History.Entry(operation, start, end, new OperationResult(true, value, 0));
    }

    /** Guards against accepting a read of an older value after a read of a newer one. */
    @Test
    public void shouldRejectStaleReadAfterNewerRead() {
        History.Entry write = entry(Operation.Kind.WRITE, 5, 0, 100, 5);
        History.Entry fresh = entry(Operation.Kind.READ_REGISTER, 0, 10, 20, 5);
        History.Entry stale = entry(Operation.Kind.READ_REGISTER, 0, 30, 40, 0);
        assertEquals(
                LinearizabilityChecker.check(List.of(write, fresh, stale)),
                LinearizabilityChecker.Verdict.NOT_LINEARIZABLE);
        assertEquals(
                LinearizabilityChecker.check(List.of(write, stale)),
                LinearizabilityChecker.Verdict.LINEARIZABLE);
    }

    /** Guards against requiring that an operation without a result has taken effect. */
    @Test
    public void shouldAllowIncompleteOperationWithOrWithoutEffect() {
        Operation operation = new Operation(2, 1, Operation.Kind.INCREMENT, 0);
        History.Entry incomplete = new History.Entry(operation, 0, History.NEVER_COMPLETED, null);
        for (long value = 0; value <= 1; value++) {
            History.Entry read = entry(Operation.Kind.READ_COUNTER, 0, 10, 20, value);
            assertEquals(
                    LinearizabilityChecker.check(List.of(incomplete, read)),
                    LinearizabilityChecker.Verdict.LINEARIZABLE);
        }
    }
}

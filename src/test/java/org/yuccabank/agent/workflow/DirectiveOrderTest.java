package org.yuccabank.agent.workflow;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;
import org.yuccabank.model.FencingToken;
import org.yuccabank.protocol.generated.WorkerDirectives;

/** Tests the order of directives and of the fencing tokens that they carry. */
public final class DirectiveOrderTest {

    private static WorkerDirectives directives(long term, long number, long fencingToken) {
        return WorkerDirectives.newBuilder()
                .setTerm(term)
                .setNumber(number)
                .setFencingToken(fencingToken)
                .build();
    }

    /**
     * Guards against calls for a former incarnation that the worker accepts while the leader cannot
     * be reached, and against a raised token that is lost with the next directives.
     */
    @Test
    public void shouldKeepRaisedFencingToken() {
        DirectiveOrder order = new DirectiveOrder();
        order.raiseFencingToken(1);
        assertEquals(order.fencingToken(), 0, "no leader is known");
        long token = FencingToken.of(3, 1);
        assertTrue(order.advance(directives(3, 1, token)));
        order.raiseFencingToken(1);
        assertEquals(order.fencingToken(), token + 1);
        assertTrue(order.advance(directives(3, 2, token)));
        assertEquals(order.fencingToken(), token + 1);
        assertTrue(order.advance(directives(3, 3, FencingToken.of(3, 2))));
        assertEquals(order.fencingToken(), FencingToken.of(3, 2));
    }

    /** Guards against a token that falls, or leaves its incarnation, after many interruptions. */
    @Test
    public void shouldKeepRaisedFencingTokenWithinIncarnation() {
        DirectiveOrder order = new DirectiveOrder();
        assertTrue(order.advance(directives(3, 1, FencingToken.of(3, 1))));
        for (long interruptions = 1; interruptions > 0; interruptions *= 2) {
            long token = order.fencingToken();
            order.raiseFencingToken(interruptions);
            assertTrue(order.fencingToken() >= token);
        }
        assertTrue(order.fencingToken() < FencingToken.of(3, 2));
    }

    /**
     * Guards against a token that falls, so that a worker refuses all calls, and against one of 0
     * beside a leader of an earlier release.
     */
    @Test
    public void shouldNeverLowerFencingToken() {
        DirectiveOrder order = new DirectiveOrder();
        assertTrue(order.advance(directives(3, 0, 0)));
        assertEquals(order.fencingToken(), 3);
        assertTrue(order.advance(directives(4, 2, 400)));
        assertEquals(order.fencingToken(), 400);
        assertFalse(order.advance(directives(4, 1, 300)));
        assertEquals(order.fencingToken(), 400);
        assertTrue(order.advance(directives(5, 1, 0)));
        assertEquals(order.fencingToken(), 400);
        assertTrue(order.advance(directives(5, 2, 500)));
        assertEquals(order.fencingToken(), 500);
    }
}

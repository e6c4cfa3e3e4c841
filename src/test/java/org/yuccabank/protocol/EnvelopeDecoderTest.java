package org.yuccabank.protocol;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.EncoderException;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.testng.Assert;
import org.testng.annotations.Test;
import org.yuccabank.protocol.generated.Envelope;
import org.yuccabank.protocol.generated.Invoke;

/** Guards against frames that crash or hang the decoder or make it allocate excessive memory. */
public class EnvelopeDecoderTest {

    private static final int MAXIMUM_FRAME_BYTES = 16 << 10;
    private static final int ROUNDS = 20_000;

    private static EmbeddedChannel channel() {
        return new EmbeddedChannel(
                new EnvelopeDecoder(MAXIMUM_FRAME_BYTES), new EnvelopeEncoder(MAXIMUM_FRAME_BYTES));
    }

    private static Envelope envelope(RandomGenerator random) {
        byte[] body = new byte[random.nextInt(2_000)];
        random.nextBytes(body);
        Invoke invoke =
                Invoke.newBuilder()
                        .setRequestId("request-" + random.nextInt())
                        .setBody(ByteString.copyFrom(body))
                        .build();
        return Envelope.newBuilder()
                .setCorrelationId(random.nextInt(1_000))
                .setInvoke(invoke)
                .build();
    }

    private static byte[] frame(Envelope message) {
        EmbeddedChannel channel = channel();
        channel.writeOutbound(message);
        ByteBuf buffer = channel.readOutbound();
        byte[] bytes = new byte[buffer.readableBytes()];
        buffer.readBytes(bytes);
        buffer.release();
        return bytes;
    }

    /** Guards against frames that are lost or corrupted when TCP splits them; seed 1. */
    @Test
    public void shouldDecodeFramesSplitAtAnyPosition() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
        for (int round = 0; round < 500; round++) {
            EmbeddedChannel channel = channel();
            Envelope sent = envelope(random);
            byte[] bytes = frame(sent);
            int position = 0;
            while (position < bytes.length) {
                int count = Math.min(bytes.length - position, 1 + random.nextInt(700));
                channel.writeInbound(Unpooled.copiedBuffer(bytes, position, count));
                position += count;
            }
            assertEquals(channel.readInbound(), sent);
        }
    }

    /** Guards against crashes, hangs and an unbounded buffer on corrupted frames; seed 2. */
    @Test
    public void shouldDecodeOrRejectCorruptedFramesWithBoundedBuffer() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(2);
        int rejected = 0;
        int decoded = 0;
        for (int round = 0; round < ROUNDS; round++) {
            byte[] bytes = corruptedFrame(random);
            EmbeddedChannel channel = channel();
            try {
                channel.writeInbound(Unpooled.copiedBuffer(bytes));
            } catch (DecoderException exception) {
                rejected++;
            }
            while (channel.readInbound() != null) {
                decoded++;
            }
            assertTrue(
                    bufferedBytes(channel)
                            <= MAXIMUM_FRAME_BYTES + EnvelopeDecoder.LENGTH_FIELD_BYTES);
            // A connection is closed after its first rejected frame.
            var unused = channel.close();
            channel.releaseInbound();
        }
        assertTrue(rejected > ROUNDS / 10, "rejected " + rejected);
        assertTrue(decoded > ROUNDS / 10, "decoded " + decoded);
    }

    private static byte[] corruptedFrame(RandomGenerator random) {
        if (random.nextInt(4) == 0) {
            byte[] randomBytes = new byte[random.nextInt(200)];
            random.nextBytes(randomBytes);
            return randomBytes;
        }
        byte[] bytes = frame(envelope(random));
        for (int flips = random.nextInt(6); flips > 0; flips--) {
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
        }
        return bytes;
    }

    private static int bufferedBytes(EmbeddedChannel channel) {
        EnvelopeDecoder decoder = channel.pipeline().get(EnvelopeDecoder.class);
        return decoder == null ? 0 : decoder.bufferedBytes();
    }

    /** Guards against buffering a frame whose announced length is above the limit. */
    @Test
    public void shouldRejectExcessiveLengthBeforeBodyArrives() {
        EmbeddedChannel channel = channel();
        ByteBuf header = Unpooled.buffer().writeInt(MAXIMUM_FRAME_BYTES + 1);
        Assert.assertThrows(DecoderException.class, () -> channel.writeInbound(header));
    }

    /** Guards against sending a frame that the peer rejects by closing the connection. */
    @Test
    public void shouldNotSendMessageAboveFrameLimit() {
        EmbeddedChannel channel = channel();
        Invoke invoke =
                Invoke.newBuilder()
                        .setBody(ByteString.copyFrom(new byte[MAXIMUM_FRAME_BYTES]))
                        .build();
        Envelope message = Envelope.newBuilder().setInvoke(invoke).build();
        Assert.assertThrows(EncoderException.class, () -> channel.writeOutbound(message));
        assertFalse(channel.finish());
    }
}

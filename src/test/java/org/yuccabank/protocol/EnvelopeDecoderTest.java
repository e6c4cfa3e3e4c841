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

/** Guards against frames that crash the decoder, hang it or make it reserve memory. */
public class EnvelopeDecoderTest {

    private static final int LIMIT = 16 << 10;
    private static final int ROUNDS = 20_000;

    private static EmbeddedChannel channel() {
        return new EmbeddedChannel(new EnvelopeDecoder(LIMIT), new EnvelopeEncoder(LIMIT));
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

    @Test
    public void framesAreReadHoweverTheyAreCut() {
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

    @Test
    public void damagedFramesEndInAnErrorOrAMessageAndNeverInMore() {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(2);
        int refused = 0;
        int read = 0;
        for (int round = 0; round < ROUNDS; round++) {
            byte[] bytes = damaged(random);
            EmbeddedChannel channel = channel();
            try {
                channel.writeInbound(Unpooled.copiedBuffer(bytes));
            } catch (DecoderException exception) {
                refused++;
            }
            while (channel.readInbound() != null) {
                read++;
            }
            assertTrue(buffered(channel) <= LIMIT + EnvelopeDecoder.LENGTH_FIELD_BYTES);
            // A connection is closed after its first refused frame.
            var unused = channel.close();
            channel.releaseInbound();
        }
        assertTrue(refused > ROUNDS / 10, "refused " + refused);
        assertTrue(read > ROUNDS / 10, "read " + read);
    }

    private static byte[] damaged(RandomGenerator random) {
        if (random.nextInt(4) == 0) {
            byte[] noise = new byte[random.nextInt(200)];
            random.nextBytes(noise);
            return noise;
        }
        byte[] bytes = frame(envelope(random));
        for (int flips = random.nextInt(6); flips > 0; flips--) {
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
        }
        return bytes;
    }

    private static int buffered(EmbeddedChannel channel) {
        EnvelopeDecoder decoder = channel.pipeline().get(EnvelopeDecoder.class);
        return decoder == null ? 0 : decoder.bufferedBytes();
    }

    @Test
    public void announcedLengthBeyondTheLimitIsRefusedBeforeItsBytesCome() {
        EmbeddedChannel channel = channel();
        ByteBuf header = Unpooled.buffer().writeInt(LIMIT + 1);
        Assert.assertThrows(DecoderException.class, () -> channel.writeInbound(header));
    }

    @Test
    public void messageThatThePeerWouldRefuseIsNotSent() {
        EmbeddedChannel channel = channel();
        Invoke invoke = Invoke.newBuilder().setBody(ByteString.copyFrom(new byte[LIMIT])).build();
        Envelope message = Envelope.newBuilder().setInvoke(invoke).build();
        Assert.assertThrows(EncoderException.class, () -> channel.writeOutbound(message));
        assertFalse(channel.finish());
    }
}

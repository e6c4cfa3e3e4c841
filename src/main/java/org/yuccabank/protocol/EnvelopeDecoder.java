package org.yuccabank.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import org.yuccabank.protocol.generated.Envelope;

/**
 * Decodes frames that consist of a 4-byte length and an {@link Envelope}.
 *
 * <p>A frame above the limit is rejected as soon as its length is read, so that a peer cannot make
 * this process allocate memory for it. Not thread-safe: each connection has its own decoder.
 */
final class EnvelopeDecoder extends LengthFieldBasedFrameDecoder {

    static final int LENGTH_FIELD_BYTES = 4;

    EnvelopeDecoder(int maximumFrameBytes) {
        super(maximumFrameBytes, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES, true);
    }

    @Override
    protected Object decode(ChannelHandlerContext context, ByteBuf input) throws Exception {
        ByteBuf frame = (ByteBuf) super.decode(context, input);
        if (frame == null) {
            return null;
        }
        try {
            return Envelope.parseFrom(frame.nioBuffer());
        } catch (IOException exception) {
            throw new CorruptedFrameException(
                    "frame is not a valid envelope: " + exception.getMessage());
        } finally {
            frame.release();
        }
    }

    /** Returns the number of buffered bytes of an incomplete frame. */
    int bufferedBytes() {
        return actualReadableBytes();
    }

    @Override
    protected ByteBuf extractFrame(
            ChannelHandlerContext context, ByteBuf buffer, int index, int length) {
        return buffer.retainedSlice(index, length);
    }
}

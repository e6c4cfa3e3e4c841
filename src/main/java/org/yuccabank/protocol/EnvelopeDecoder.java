package org.yuccabank.protocol;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.io.IOException;
import org.yuccabank.protocol.generated.Envelope;

/**
 * Reads frames: a 4-byte length and an {@link Envelope}.
 *
 * <p>A frame that is too long is refused as soon as its length is known, so that a peer cannot make
 * this process reserve memory for it. Not thread-safe: one decoder for each connection.
 */
final class EnvelopeDecoder extends LengthFieldBasedFrameDecoder {

    /** Size of the length field. */
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
            throw new CorruptedFrameException("not an envelope: " + exception.getMessage());
        } finally {
            frame.release();
        }
    }

    /** Bytes that wait for the rest of their frame. */
    int bufferedBytes() {
        return actualReadableBytes();
    }

    @Override
    protected ByteBuf extractFrame(
            ChannelHandlerContext context, ByteBuf buffer, int index, int length) {
        return buffer.retainedSlice(index, length);
    }
}

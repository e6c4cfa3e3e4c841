package org.yuccabank.protocol;

import com.google.protobuf.CodedOutputStream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.EncoderException;
import io.netty.handler.codec.MessageToByteEncoder;
import java.io.IOException;
import org.yuccabank.protocol.generated.Envelope;

/**
 * Encodes frames that consist of a 4-byte length and an {@link Envelope}. Fails with an {@link
 * EncoderException} for an envelope above the frame limit, because the peer would reject it.
 */
final class EnvelopeEncoder extends MessageToByteEncoder<Envelope> {

    private final int maximumFrameBytes;

    EnvelopeEncoder(int maximumFrameBytes) {
        super(Envelope.class);
        this.maximumFrameBytes = maximumFrameBytes;
    }

    @Override
    protected ByteBuf allocateBuffer(
            ChannelHandlerContext context, Envelope message, boolean preferDirect) {
        int size = message.getSerializedSize();
        if (size > maximumFrameBytes) {
            throw new EncoderException(
                    "frame of " + size + " bytes exceeds the maximum frame size");
        }
        return context.alloc().ioBuffer(EnvelopeDecoder.LENGTH_FIELD_BYTES + size);
    }

    @Override
    protected void encode(ChannelHandlerContext context, Envelope message, ByteBuf output)
            throws IOException {
        int size = message.getSerializedSize();
        output.writeInt(size);
        CodedOutputStream stream =
                CodedOutputStream.newInstance(output.nioBuffer(output.writerIndex(), size));
        message.writeTo(stream);
        stream.flush();
        output.writerIndex(output.writerIndex() + size);
    }
}

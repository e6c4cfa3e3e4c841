package org.yuccabank.agent;

import org.yuccabank.model.Resources;
import org.yuccabank.protocol.generated.ResourceVector;

/** Converts between {@link Resources} and their protocol message. */
final class ResourceVectors {

    private ResourceVectors() {}

    static ResourceVector toMessage(Resources resources) {
        return ResourceVector.newBuilder()
                .setProcessorMillis(Math.max(0, resources.processorMillis()))
                .setMemoryMebibytes(Math.max(0, resources.memoryMebibytes()))
                .setAccelerators(Math.max(0, resources.accelerators()))
                .build();
    }

    static Resources fromMessage(ResourceVector message) {
        return Resources.of(
                message.getProcessorMillis(),
                message.getMemoryMebibytes(),
                message.getAccelerators());
    }
}

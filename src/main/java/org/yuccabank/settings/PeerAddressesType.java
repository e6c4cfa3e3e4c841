package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.tomlj.TomlArray;
import org.yuccabank.result.FindingCollector;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;
import org.yuccabank.result.TomlDocument;

/**
 * Type of a list of unique addresses to connect to. Immutable.
 *
 * @param element type of one address
 */
record PeerAddressesType(SettingType<InetSocketAddress> element)
        implements SettingType<List<InetSocketAddress>> {

    private static final int MAXIMUM_ADDRESSES = 16;

    @Override
    public String range() {
        return "1 to " + MAXIMUM_ADDRESSES + " distinct IP addresses with ports";
    }

    @Override
    public Result<List<InetSocketAddress>> convert(Object value, SourcePosition position) {
        if (!(value instanceof TomlArray array)
                || array.isEmpty()
                || array.size() > MAXIMUM_ADDRESSES) {
            return SettingTypes.invalidValue(value, position, "a list of " + range());
        }
        FindingCollector findings = FindingCollector.of(position.source());
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (int index = 0; index < array.size(); index++) {
            SourcePosition elementPosition =
                    TomlDocument.positionOf(position.source(), array.inputPositionOf(index));
            Result<InetSocketAddress> address = element.convert(array.get(index), elementPosition);
            address.findings().all().forEach(findings::add);
            address.toOptional()
                    .ifPresent(parsed -> add(parsed, addresses, elementPosition, findings));
        }
        return findings.isEmpty()
                ? Result.success(List.copyOf(addresses))
                : Result.failure(findings.toFindings());
    }

    private static void add(
            InetSocketAddress address,
            List<InetSocketAddress> addresses,
            SourcePosition position,
            FindingCollector findings) {
        if (addresses.contains(address)) {
            String addressText = Addresses.format(address);
            findings.add(
                    position.line(),
                    position.column(),
                    addressText + " is a duplicate; remove one");
        }
        addresses.add(address);
    }
}

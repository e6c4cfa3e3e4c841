package org.yuccabank.settings;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.tomlj.TomlArray;
import org.tomlj.TomlTable;
import org.yuccabank.result.FindingCollector;
import org.yuccabank.result.NameSuggestion;
import org.yuccabank.result.Result;
import org.yuccabank.result.SourcePosition;
import org.yuccabank.result.TomlDocument;

/**
 * Type of the initial members of a control group, whose identifiers and addresses must be unique.
 * Immutable.
 *
 * @param identifier type of {@code replica_id}
 * @param address type of {@code address}
 */
record GroupMembersType(SettingType<String> identifier, SettingType<InetSocketAddress> address)
        implements SettingType<List<GroupMember>> {

    private static final int MAXIMUM_MEMBERS = 9;
    private static final List<String> KEYS = List.of("replica_id", "address");

    @Override
    public String range() {
        return "1 to " + MAXIMUM_MEMBERS + " tables with `replica_id` and `address`";
    }

    @Override
    public Result<List<GroupMember>> convert(Object value, SourcePosition position) {
        if (!(value instanceof TomlArray array)
                || array.isEmpty()
                || array.size() > MAXIMUM_MEMBERS
                || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            return SettingTypes.invalidValue(value, position, "1 to 9 tables [[group.member]]");
        }
        FindingCollector findings = FindingCollector.of(position.source());
        List<GroupMember> members = new ArrayList<>();
        for (int index = 0; index < array.size(); index++) {
            SourcePosition memberPosition =
                    TomlDocument.positionOf(position.source(), array.inputPositionOf(index));
            parseMember(array.getTable(index), memberPosition, findings)
                    .ifPresent(member -> add(member, members, memberPosition, findings));
        }
        return findings.isEmpty()
                ? Result.success(List.copyOf(members))
                : Result.failure(findings.toFindings());
    }

    private Optional<GroupMember> parseMember(
            TomlTable table, SourcePosition position, FindingCollector findings) {
        for (String key : table.keySet()) {
            if (!KEYS.contains(key)) {
                SourcePosition keyPosition = positionOf(table, key, position);
                String message = "unknown key '" + key + "'" + NameSuggestion.hint(key, KEYS);
                findings.add(keyPosition.line(), keyPosition.column(), message);
            }
        }
        Optional<String> replicaId =
                parseField(table, "replica_id", identifier, position, findings);
        Optional<InetSocketAddress> memberAddress =
                parseField(table, "address", address, position, findings);
        return replicaId.flatMap(
                memberId -> memberAddress.map(parsed -> new GroupMember(memberId, parsed)));
    }

    private static <T> Optional<T> parseField(
            TomlTable table,
            String key,
            SettingType<T> type,
            SourcePosition position,
            FindingCollector findings) {
        Object value = table.get(List.of(key));
        if (value == null) {
            String message = "'" + key + "' is missing in the group member";
            findings.add(position.line(), position.column(), message);
            return Optional.empty();
        }
        Result<T> converted = type.convert(value, positionOf(table, key, position));
        converted.findings().all().forEach(findings::add);
        return converted.toOptional();
    }

    private static SourcePosition positionOf(TomlTable table, String key, SourcePosition position) {
        return TomlDocument.positionOf(position.source(), table.inputPositionOf(List.of(key)));
    }

    private static void add(
            GroupMember member,
            List<GroupMember> members,
            SourcePosition position,
            FindingCollector findings) {
        for (GroupMember earlier : members) {
            if (earlier.replicaId().equals(member.replicaId())) {
                String message = "replica_id '" + member.replicaId() + "' is a duplicate";
                findings.add(position.line(), position.column(), message);
            }
            if (earlier.address().equals(member.address())) {
                String addressText = Addresses.format(member.address());
                findings.add(
                        position.line(),
                        position.column(),
                        "address " + addressText + " is a duplicate");
            }
        }
        members.add(member);
    }
}

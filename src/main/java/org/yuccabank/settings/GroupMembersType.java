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
 * The first members of a control group, with different identifiers and addresses. Immutable.
 *
 * @param identifier type of {@code replica_id}
 * @param address type of {@code address}
 */
record GroupMembersType(SettingType<String> identifier, SettingType<InetSocketAddress> address)
        implements SettingType<List<GroupMember>> {

    private static final int GREATEST_COUNT = 9;
    private static final List<String> KEYS = List.of("replica_id", "address");

    @Override
    public String range() {
        return "1 to " + GREATEST_COUNT + " tables with `replica_id` and `address`";
    }

    @Override
    public Result<List<GroupMember>> convert(Object value, SourcePosition place) {
        if (!(value instanceof TomlArray array)
                || array.isEmpty()
                || array.size() > GREATEST_COUNT
                || !array.toList().stream().allMatch(TomlTable.class::isInstance)) {
            return SettingTypes.fault(value, place, "1 to 9 tables [[group.member]]");
        }
        FindingCollector findings = FindingCollector.of(place.source());
        List<GroupMember> members = new ArrayList<>();
        for (int index = 0; index < array.size(); index++) {
            SourcePosition at =
                    TomlDocument.positionOf(place.source(), array.inputPositionOf(index));
            member(array.getTable(index), at, findings)
                    .ifPresent(member -> add(member, members, at, findings));
        }
        return findings.isEmpty()
                ? Result.success(List.copyOf(members))
                : Result.failure(findings.toFindings());
    }

    private Optional<GroupMember> member(
            TomlTable table, SourcePosition place, FindingCollector findings) {
        for (String key : table.keySet()) {
            if (!KEYS.contains(key)) {
                SourcePosition at = placeOf(table, key, place);
                String message = "unknown key '" + key + "'" + NameSuggestion.hint(key, KEYS);
                findings.add(at.line(), at.column(), message);
            }
        }
        Optional<String> replicaId = part(table, "replica_id", identifier, place, findings);
        Optional<InetSocketAddress> where = part(table, "address", address, place, findings);
        return replicaId.flatMap(name -> where.map(at -> new GroupMember(name, at)));
    }

    private static <T> Optional<T> part(
            TomlTable table,
            String key,
            SettingType<T> type,
            SourcePosition place,
            FindingCollector findings) {
        Object value = table.get(List.of(key));
        if (value == null) {
            String message = "'" + key + "' is missing in this member";
            findings.add(place.line(), place.column(), message);
            return Optional.empty();
        }
        Result<T> converted = type.convert(value, placeOf(table, key, place));
        converted.findings().all().forEach(findings::add);
        return converted.toOptional();
    }

    private static SourcePosition placeOf(TomlTable table, String key, SourcePosition place) {
        return TomlDocument.positionOf(place.source(), table.inputPositionOf(List.of(key)));
    }

    private static void add(
            GroupMember member,
            List<GroupMember> members,
            SourcePosition place,
            FindingCollector findings) {
        for (GroupMember earlier : members) {
            if (earlier.replicaId().equals(member.replicaId())) {
                String message = "the replica_id '" + member.replicaId() + "' stands twice";
                findings.add(place.line(), place.column(), message);
            }
            if (earlier.address().equals(member.address())) {
                String shown = Addresses.format(member.address());
                findings.add(
                        place.line(), place.column(), "the address " + shown + " stands twice");
            }
        }
        members.add(member);
    }
}

package org.corianderweir.logic.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.corianderweir.model.traffic.FleetMember;

/**
 * Keeps the newest report of each server that the instances of a zone have heard, and chooses for
 * each instance those that it doesn't have yet. Reports expire when they have no weight any more.
 * Not thread-safe.
 */
public final class ReportCollector {
  /** Bounds the memory; more servers do not answer a zone within the lifetime of a report. */
  private static final int ENTRY_LIMIT = 10_000;

  /** Gives a zone another collector than its region has for the demand of organisations. */
  private static final String ZONE_HASH_PREFIX = "reports/";

  /**
   * A collector sends to each member of its group up to 8 KB/s. Larger zones are divided, so that
   * no instance sends more than 170 KB/s (23 members, identifiers of 12 characters).
   */
  private static final int GROUP_LIMIT = 24;

  /** In the order in which the reports arrived. */
  private final LinkedHashMap<Start, Entry> newest = new LinkedHashMap<>();

  /** The sequence number up to which each instance has got the reports. */
  private final Map<String, Long> sentSequences = new HashMap<>();

  private long sequence;

  /** A start of a server. What an earlier start reported says nothing about a later one. */
  private record Start(String server, long startedMilliseconds) {}

  private record Entry(String source, ServerLoad load, long heardNanoseconds, long sequence) {}

  /**
   * Returns the instance that collects the reports of an instance's group in its zone. Instances of
   * a group with the same list of members choose the same one.
   */
  public static Optional<FleetMember> choose(List<FleetMember> members, FleetMember self) {
    Optional<FleetMember> best = Optional.empty();
    double bestScore = Double.MAX_VALUE;
    long zoneHash = Hashing.hash(ZONE_HASH_PREFIX + self.zone());
    for (FleetMember member : group(members, self)) {
      double score = Hashing.uniform(Hashing.hash(member.name()), zoneHash);
      if (score < bestScore) {
        bestScore = score;
        best = Optional.of(member);
      }
    }
    return best;
  }

  /**
   * Returns the members of an instance's group: an equal part of its zone, by the hash of names.
   */
  private static List<FleetMember> group(List<FleetMember> members, FleetMember self) {
    long ownHash = Hashing.hash(self.name());
    List<FleetMember> zone =
        members.stream()
            .filter(member -> member.zone().equals(self.zone()))
            // Comparator.comparingLong makes a serializable lambda, which no class archive holds.
            .sorted(
                (one, other) -> Long.compare(Hashing.hash(one.name()), Hashing.hash(other.name())))
            .toList();
    int size = zone.size();
    int groupCount = (size + GROUP_LIMIT - 1) / GROUP_LIMIT;
    if (groupCount <= 1) {
      return zone;
    }
    int lowerCount =
        (int) zone.stream().filter(member -> Hashing.hash(member.name()) < ownHash).count();
    int group = Math.min(lowerCount, size - 1) * groupCount / size;
    return IntStream.range(0, size)
        .filter(position -> position * groupCount / size == group)
        .mapToObj(zone::get)
        .toList();
  }

  /** Adds the reports that an instance has heard. An older report does not replace a newer one. */
  public void merge(String source, List<SharedServerReport> reports, long nowNanoseconds) {
    removeExpired(nowNanoseconds);
    for (SharedServerReport report : reports) {
      Start start = new Start(report.server(), report.startedMilliseconds());
      long heard = report.heardNanoseconds(nowNanoseconds);
      Entry known = newest.get(start);
      if (known == null ? newest.size() < ENTRY_LIMIT : heard - known.heardNanoseconds() > 0) {
        sequence++;
        newest.remove(start);
        newest.put(start, new Entry(source, report.load(), heard, sequence));
      }
    }
  }

  /**
   * Returns the newest reports that an instance has neither sent itself nor got before, the latest
   * first, and remembers that it gets them.
   */
  public List<SharedServerReport> takeFor(String instance, long nowNanoseconds) {
    long sent = sentSequences.getOrDefault(instance, 0L);
    List<SharedServerReport> reports = new ArrayList<>();
    for (Map.Entry<Start, Entry> each : newest.sequencedEntrySet().reversed()) {
      Entry entry = each.getValue();
      if (entry.sequence() <= sent || reports.size() == SharedServerReport.MESSAGE_LIMIT) {
        break;
      }
      if (!entry.source().equals(instance)
          && SharedServerReport.isCurrent(entry.heardNanoseconds(), nowNanoseconds)) {
        reports.add(
            SharedServerReport.of(
                each.getKey().server(),
                each.getKey().startedMilliseconds(),
                entry.load(),
                entry.heardNanoseconds(),
                nowNanoseconds));
      }
    }
    sentSequences.put(instance, sequence);
    return List.copyOf(reports);
  }

  /** Forgets instances that are not members of the zone any more. */
  public void retainInstances(Set<String> members) {
    sentSequences.keySet().retainAll(members);
  }

  /** Returns the number of servers whose reports are kept. */
  public int size() {
    return newest.size();
  }

  private void removeExpired(long nowNanoseconds) {
    newest
        .values()
        .removeIf(entry -> !SharedServerReport.isCurrent(entry.heardNanoseconds(), nowNanoseconds));
  }
}

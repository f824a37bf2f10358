package org.corianderweir.logic.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Tracks entry instances by their heartbeats. Used by the control thread alone. */
public final class MembershipTable {
  private final long timeoutNanoseconds;
  private final Map<String, Entry> entries = new TreeMap<>();

  private record Entry(Member member, long lastHeartbeatNanoseconds) {}

  /**
   * Creates an empty table.
   *
   * @param timeout time without a heartbeat after which an instance is removed
   */
  public MembershipTable(Duration timeout) {
    timeoutNanoseconds = timeout.toNanos();
  }

  /**
   * Records a heartbeat. A heartbeat of an older incarnation is ignored. Returns whether the
   * instance or its incarnation was unknown before.
   */
  public boolean recordHeartbeat(Member member, long nowNanoseconds) {
    Entry known = entries.get(member.instance().name());
    if (known != null && known.member().incarnation() > member.incarnation()) {
      return false;
    }
    entries.put(member.instance().name(), new Entry(member, nowNanoseconds));
    return known == null || known.member().incarnation() < member.incarnation();
  }

  /** Restarts the heartbeat timeout of every instance, for use after this process was paused. */
  public void restartTimeouts(long nowNanoseconds) {
    entries.replaceAll((name, entry) -> new Entry(entry.member(), nowNanoseconds));
  }

  /** Returns whether an instance is in the table. */
  public boolean contains(String name) {
    return entries.containsKey(name);
  }

  /** Removes the instances whose heartbeat timeout has passed and returns them. */
  public List<Member> expire(long nowNanoseconds) {
    List<Member> expiredMembers = new ArrayList<>();
    entries
        .values()
        .removeIf(
            entry -> {
              boolean expired =
                  nowNanoseconds - entry.lastHeartbeatNanoseconds() > timeoutNanoseconds;
              if (expired) {
                expiredMembers.add(entry.member());
              }
              return expired;
            });
    return expiredMembers;
  }

  /** Returns the instances in the table, sorted by name. */
  public List<Member> members() {
    return entries.values().stream()
        .map(Entry::member)
        .sorted(Comparator.comparing(member -> member.instance().name()))
        .toList();
  }
}

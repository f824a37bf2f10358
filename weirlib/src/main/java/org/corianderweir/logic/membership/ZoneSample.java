package org.corianderweir.logic.membership;

import java.util.Collection;
import java.util.List;
import org.corianderweir.model.topology.InstanceState;

/**
 * Some of the serving entry instances of an availability zone, its relays first.
 *
 * @param zone name of the availability zone
 * @param version wall time at which the sample was taken, milliseconds since the epoch
 * @param members the instances
 */
public record ZoneSample(String zone, long version, List<Member> members) {
  /** Largest number of instances in a sample. */
  public static final int MAXIMUM_MEMBERS = 6;

  /** Copies the list. */
  public ZoneSample {
    members = List.copyOf(members);
  }

  /** Takes a sample of a zone's members. */
  public static ZoneSample of(String zone, long version, Collection<Member> members) {
    List<Member> serving =
        Relays.ranked(members).stream()
            .filter(member -> member.state() == InstanceState.SERVING)
            .limit(MAXIMUM_MEMBERS)
            .toList();
    return new ZoneSample(zone, version, serving);
  }

  /**
   * Returns whether both samples name the same instances in the same incarnations, whatever
   * revisions these have in force.
   */
  public boolean hasSameInstances(ZoneSample other) {
    return names().equals(other.names());
  }

  private List<String> names() {
    return members.stream()
        .map(member -> member.instance().name() + '/' + member.incarnation())
        .toList();
  }
}

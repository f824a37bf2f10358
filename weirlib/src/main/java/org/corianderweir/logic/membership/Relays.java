package org.corianderweir.logic.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import net.openhft.hashing.LongHashFunction;
import org.corianderweir.model.topology.InstanceState;

/**
 * Chooses the relays of an availability zone by rendezvous hashing (Thaler and Ravishankar, 1998).
 * Instances with different views of the zone may choose different relays. That causes additional
 * requests but no incorrect result.
 */
public final class Relays {
  /** Number of relays of a zone. */
  public static final int RELAYS_PER_ZONE = 2;

  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private Relays() {}

  /** Returns the members that are not leaving, in order of preference as relays. */
  public static List<Member> ranked(Collection<Member> members) {
    return members.stream()
        .filter(member -> member.state() != InstanceState.LEAVING)
        .sorted(
            Comparator.comparingLong(Relays::rank)
                .thenComparing(member -> member.instance().name()))
        .toList();
  }

  /** Returns whether an instance is a relay among the members of its zone. */
  public static boolean isRelay(Collection<Member> members, String name) {
    return ranked(members).stream()
        .limit(RELAYS_PER_ZONE)
        .anyMatch(member -> member.instance().name().equals(name));
  }

  private static long rank(Member member) {
    return HASH.hashChars(member.instance().availabilityZone() + '/' + member.instance().name());
  }
}

package org.corianderweir.logic.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.corianderweir.model.traffic.FleetMember;

/**
 * Distributes callers over entry instances of different size. Callers pick an address of a look-up
 * at random, each with the same probability, so an instance with a multiple of the smallest
 * capacity is named that many times.
 */
final class MemberWeights {
  /** Callers use at most this many addresses of a look-up. */
  static final int LIMIT = 64;

  /** Step by which the unit of capacity grows until the names fit. */
  private static final double UNIT_GROWTH = 1.1;

  private MemberWeights() {}

  /**
   * Returns the members that callers in a region should use: those of the region, or all if it has
   * none, weighted by capacity. Returns only the answering instance if none is left.
   *
   * @param self the answering instance
   * @param stopping whether it is shutting down and is left out
   */
  static List<FleetMember> choose(
      List<FleetMember> members, FleetMember self, String region, boolean stopping) {
    List<FleetMember> inRegion =
        members.stream().filter(member -> member.region().equals(region)).toList();
    List<FleetMember> eligible = inRegion.isEmpty() ? members : inRegion;
    List<FleetMember> remaining =
        eligible.stream()
            .filter(member -> !stopping || !member.name().equals(self.name()))
            .toList();
    return remaining.isEmpty() ? List.of(self) : weigh(remaining, self);
  }

  /**
   * Returns the members with repetitions in proportion to their capacity, at most {@link #LIMIT}
   * names. Each member is named at least once; if there are more members, each answering instance
   * names a different part of them.
   *
   * @param self the answering instance
   */
  static List<FleetMember> weigh(List<FleetMember> members, FleetMember self) {
    if (members.size() >= LIMIT) {
      return part(members, self);
    }
    double unit = members.stream().mapToDouble(FleetMember::capacity).min().orElse(1);
    while (nameCount(members, unit) > LIMIT) {
      unit *= UNIT_GROWTH;
    }
    List<FleetMember> names = new ArrayList<>();
    for (FleetMember member : members) {
      for (int number = 0; number < repetitions(member, unit); number++) {
        names.add(member);
      }
    }
    return names;
  }

  private static List<FleetMember> part(List<FleetMember> members, FleetMember self) {
    long selfHash = Hashing.hash(self.name());
    return members.stream()
        .sorted(
            Comparator.comparingDouble(
                member ->
                    Hashing.rendezvousScore(
                        selfHash, Hashing.hash(member.name()), member.capacity())))
        .limit(LIMIT)
        .toList();
  }

  private static long nameCount(List<FleetMember> members, double unit) {
    return members.stream().mapToLong(member -> repetitions(member, unit)).sum();
  }

  private static long repetitions(FleetMember member, double unit) {
    return Math.max(1, Math.round(member.capacity() / unit));
  }
}

package org.corianderweir.logic.relay;

import java.util.Collection;
import java.util.List;
import net.openhft.hashing.LongHashFunction;

/**
 * The order in which the instances of an availability zone relay the store: rendezvous hashing
 * (Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996). Instances that know
 * the same members agree on the order without a message, and a member that joins or leaves changes
 * the place of no other one by more than its own.
 */
final class RelayRanking {
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private RelayRanking() {}

  /** Returns the names of the instances in their order; the first one is the relay. */
  static List<String> rank(Collection<String> instances, String zone) {
    return instances.stream()
        .distinct()
        // Comparator.comparingLong makes a serializable lambda, which no class archive holds.
        .sorted(
            (one, other) -> {
              int byHash = Long.compare(hash(one, zone), hash(other, zone));
              return byHash != 0 ? byHash : one.compareTo(other);
            })
        .toList();
  }

  private static long hash(String name, String zone) {
    return HASH.hashChars(zone + '/' + name);
  }
}

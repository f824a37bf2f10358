package org.corianderweir.logic.lookup;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import net.openhft.hashing.LongHashFunction;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.model.request.LookupAnswer;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.topology.InstanceState;

/**
 * Ranks the entry instances for a client: those in its availability zone first, then those in its
 * region, then all others. Instances of the same rank are ordered by rendezvous hashing (Thaler and
 * Ravishankar, 1998) of the client's address.
 */
public final class EntryInstanceRanking {
  private static final int ANSWER_INSTANCE_COUNT = 3;
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private EntryInstanceRanking() {}

  /**
   * Returns at most three serving entry instances that a client should use, best first.
   *
   * @param client address of the client
   * @param zone availability zone that the client is steered to
   * @param region region of that zone
   * @param lifetime how long the client may cache the answer
   */
  public static LookupAnswer rank(
      List<Member> members, String client, String zone, String region, Duration lifetime) {
    Comparator<EntryInstance> nearestFirst =
        Comparator.comparingInt(instance -> localityRank(instance, zone, region));
    Comparator<EntryInstance> byHash =
        Comparator.comparingLong(instance -> HASH.hashChars(client + '/' + instance.name()));
    Stream<EntryInstance> ordered =
        members.stream()
            .filter(member -> member.state() == InstanceState.SERVING)
            .map(Member::instance)
            .sorted(nearestFirst.thenComparing(byHash))
            .limit(ANSWER_INSTANCE_COUNT);
    return new LookupAnswer(
        ordered.map(EntryInstanceRanking::endpoint).toList(), lifetime.toMillis());
  }

  private static int localityRank(EntryInstance instance, String zone, String region) {
    if (instance.availabilityZone().equals(zone)) {
      return 0;
    }
    return instance.region().equals(region) ? 1 : 2;
  }

  private static LookupAnswer.Endpoint endpoint(EntryInstance instance) {
    return new LookupAnswer.Endpoint(
        instance.name(), instance.availabilityZone(), instance.host(), instance.callerPort());
  }
}

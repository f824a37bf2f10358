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
 * Orders entry instances for a client: its own availability zone first, then its region, then the
 * rest; within each by rendezvous hashing (Thaler and Ravishankar, 1998) of the client's address.
 */
public final class EntryInstanceRanking {
  private static final int ANSWER_INSTANCE_COUNT = 3;
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private EntryInstanceRanking() {}

  /**
   * Answers a look-up.
   *
   * @param zone availability zone that the client belongs to
   * @param region region of that zone
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

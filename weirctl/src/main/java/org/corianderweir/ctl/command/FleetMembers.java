package org.corianderweir.ctl.command;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.corianderweir.ctl.CommandException;
import org.corianderweir.ctl.Session;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.protocol.operator.Operation;
import org.corianderweir.protocol.operator.Operations;

/**
 * Gathers all entry instances that are alive. An instance knows all of its own availability zone
 * and some of each other one, so one instance of each zone is asked: one call a zone.
 */
final class FleetMembers {
  private final Session session;
  private final Map<String, Member> members = new TreeMap<>();
  private final Set<String> askedZones = new HashSet<>();
  private final Set<String> askedInstances = new HashSet<>();

  private FleetMembers(Session session) {
    this.session = session;
  }

  /** Returns the instances by name. */
  static List<Member> all(Session session) {
    FleetMembers gathered = new FleetMembers(session);
    gathered.add(session.read(Operations.INSTANCES).members());
    Optional<Member> next = gathered.next();
    while (next.isPresent()) {
      gathered.ask(next.get());
      next = gathered.next();
    }
    return List.copyOf(gathered.members.values());
  }

  private void add(List<Member> heard) {
    for (Member member : heard) {
      members.merge(
          member.instance().name(),
          member,
          (first, second) ->
              Comparator.comparingLong(Member::incarnation).compare(first, second) >= 0
                  ? first
                  : second);
    }
  }

  private Optional<Member> next() {
    return members.values().stream()
        .filter(member -> !askedZones.contains(member.instance().availabilityZone()))
        .filter(member -> !askedInstances.contains(member.instance().name()))
        .findFirst();
  }

  private void ask(Member member) {
    askedInstances.add(member.instance().name());
    try {
      add(
          session
              .client()
              .only(InstanceCommands.operatorAddress(member.instance()))
              .read(Operations.INSTANCES, new Operation.NoRequest())
              .members());
      askedZones.add(member.instance().availabilityZone());
    } catch (CommandException noAnswer) {
      // Another instance of the zone is asked.
    }
  }
}

package org.corianderweir.ctl.command;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandException;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.protocol.operator.Operation;
import org.corianderweir.protocol.operator.Operations;

/**
 * Collects all entry instances that are alive. An instance knows all instances of its own
 * availability zone, but only some of each other zone. Therefore one instance of each zone is
 * queried, which takes one request for each zone.
 */
final class FleetMembers {
  private final CommandContext context;
  private final Map<String, Member> members = new TreeMap<>();
  private final Set<String> queriedZones = new HashSet<>();
  private final Set<String> queriedInstances = new HashSet<>();

  private FleetMembers(CommandContext context) {
    this.context = context;
  }

  /** Returns the instances that are alive, ordered by name. */
  static List<Member> all(CommandContext context) {
    FleetMembers collector = new FleetMembers(context);
    collector.add(context.read(Operations.INSTANCES).members());
    Optional<Member> next = collector.nextToQuery();
    while (next.isPresent()) {
      collector.query(next.get());
      next = collector.nextToQuery();
    }
    return List.copyOf(collector.members.values());
  }

  private void add(List<Member> reported) {
    for (Member member : reported) {
      members.merge(
          member.instance().name(),
          member,
          (first, second) ->
              Comparator.comparingLong(Member::incarnation).compare(first, second) >= 0
                  ? first
                  : second);
    }
  }

  private Optional<Member> nextToQuery() {
    return members.values().stream()
        .filter(member -> !queriedZones.contains(member.instance().availabilityZone()))
        .filter(member -> !queriedInstances.contains(member.instance().name()))
        .findFirst();
  }

  private void query(Member member) {
    queriedInstances.add(member.instance().name());
    try {
      add(
          context
              .client()
              .forInstance(InstanceCommands.operatorAddress(member.instance()))
              .read(Operations.INSTANCES, new Operation.NoRequest())
              .members());
      queriedZones.add(member.instance().availabilityZone());
    } catch (CommandException noAnswer) {
      // The zone stays unqueried, so that another of its instances is queried next.
    }
  }
}

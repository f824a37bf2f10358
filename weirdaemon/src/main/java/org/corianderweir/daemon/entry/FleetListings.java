package org.corianderweir.daemon.entry;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.protocol.operator.FleetListing;

/** Lists the entry instances of a fleet with their metrics ports. */
final class FleetListings {
  private FleetListings() {}

  /**
   * Returns the instances of a view, and this one also while its registration is not part of it. An
   * instance of a version that does not tell its metrics port is listed with the port of this one,
   * since all instances of a deployment are started with the same settings.
   */
  static FleetListing of(FleetMember self, FleetView view) {
    List<FleetMember> members = new ArrayList<>(view.members());
    if (members.stream().noneMatch(member -> member.name().equals(self.name()))) {
      members.add(self);
    }
    return new FleetListing(
        self.name(),
        view.revision(),
        members.stream()
            .sorted(Comparator.comparing(FleetMember::name))
            .map(
                member ->
                    new FleetListing.Entry(
                        member.name(),
                        member.region(),
                        member.zone(),
                        member.host(),
                        member.metricsPort() > 0 ? member.metricsPort() : self.metricsPort()))
            .toList());
  }
}

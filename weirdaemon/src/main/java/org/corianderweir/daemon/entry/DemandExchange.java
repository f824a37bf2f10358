package org.corianderweir.daemon.entry;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.corianderweir.daemon.peer.PeerTransport;
import org.corianderweir.kernel.ControlExecutor;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.traffic.DemandCollector;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.protocol.DemandMessage;

/**
 * Exchanges the demand of organisations between entry instances. Each instance reports its demand
 * to the collector of its region, the collectors report to each other, and each collector answers a
 * report with a digest of the demand of the fleet. Runs on the control thread.
 */
final class DemandExchange {
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

  /**
   * Number of report intervals between reports to other regions. Fewer reports are sent there,
   * because traffic between regions is expensive and messages take longer.
   */
  private static final int REGION_REPORT_INTERVAL_COUNT = 2;

  private final FleetMember self;
  private final TrafficDirector director;
  private final PeerTransport transport;
  private final ControlExecutor controlExecutor;
  private final TimeSource time;
  private final DemandCollector collector = new DemandCollector();
  private FleetView view = FleetView.EMPTY;
  private int intervalCount;

  DemandExchange(
      FleetMember self,
      TrafficDirector director,
      PeerTransport transport,
      ControlExecutor controlExecutor,
      TimeSource time) {
    this.self = self;
    this.director = director;
    this.transport = transport;
    this.controlExecutor = controlExecutor;
    this.time = time;
  }

  void start() {
    transport.onMessage(
        DemandMessage.class,
        received ->
            controlExecutor.execute(() -> receive(received.sender().name(), received.message())));
    controlExecutor.scheduleWithFixedDelay(REPORT_INTERVAL, this::reportDemand);
  }

  void apply(FleetView newView) {
    view = newView;
  }

  private void receive(String sender, DemandMessage message) {
    long now = time.monotonicNanoseconds();
    switch (message) {
      case DemandMessage.DemandReport report -> {
        collector.reportInstanceDemand(sender, report.requestsPerSecond(), now);
        sendDigest(sender, now);
      }
      case DemandMessage.RegionDemand demand ->
          collector.reportRegionDemand(
              demand.region(), demand.reportingInstanceCount(), demand.requestsPerSecond(), now);
      case DemandMessage.FleetDemand digest ->
          director.updateFleetDemand(
              digest.reportedRequestsPerSecond(),
              digest.reportingInstanceCount(),
              digest.fleetRequestsPerSecond(),
              now);
    }
  }

  private void sendDigest(String instance, long now) {
    Optional<FleetMember> member =
        view.members().stream().filter(candidate -> candidate.name().equals(instance)).findFirst();
    member.ifPresent(
        recipient ->
            transport.send(
                toEntryInstance(recipient),
                new DemandMessage.FleetDemand(
                    collector.instanceDemand(instance),
                    collector.fleetInstanceCount(now),
                    collector.fleetDemand(now))));
  }

  private void reportDemand() {
    long now = time.monotonicNanoseconds();
    intervalCount++;
    Optional<FleetMember> collectorMember =
        DemandCollector.chooseCollector(view.members(), self.region());
    if (collectorMember.isEmpty()) {
      return;
    }
    Map<String, Double> demand = director.demand(now);
    if (!collectorMember.get().name().equals(self.name())) {
      transport.send(
          toEntryInstance(collectorMember.get()), new DemandMessage.DemandReport(demand));
      return;
    }
    collector.reportInstanceDemand(self.name(), demand, now);
    director.updateFleetDemand(
        demand, collector.fleetInstanceCount(now), collector.fleetDemand(now), now);
    if (intervalCount % REGION_REPORT_INTERVAL_COUNT == 0) {
      reportToOtherRegions(now);
    }
  }

  private void reportToOtherRegions(long now) {
    DemandMessage.RegionDemand message =
        new DemandMessage.RegionDemand(
            self.region(), collector.regionInstanceCount(now), collector.regionDemand(now));
    for (String region : regions(view.members())) {
      if (!region.equals(self.region())) {
        DemandCollector.chooseCollector(view.members(), region)
            .ifPresent(other -> transport.send(toEntryInstance(other), message));
      }
    }
  }

  private static Set<String> regions(List<FleetMember> members) {
    Set<String> regions = new HashSet<>();
    members.forEach(member -> regions.add(member.region()));
    return regions;
  }

  /** Converts a member to the type that the peer transport uses. */
  static EntryInstance toEntryInstance(FleetMember member) {
    return new EntryInstance(
        member.name(),
        member.region(),
        member.zone(),
        member.host(),
        member.callerPort(),
        member.callerPort(),
        member.peerPort());
  }
}

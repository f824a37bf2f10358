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
 * Shares what organisations ask for: each instance tells the collector of its region, collectors
 * tell each other, and each collector answers with the demand of the fleet. Runs on the control
 * thread.
 */
final class DemandExchange {
  private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);

  /** Between regions bytes are dear and messages take longer, so fewer are sent. */
  private static final int REGION_REPORT_PERIOD_COUNT = 2;

  private final FleetMember self;
  private final TrafficDirector director;
  private final PeerTransport transport;
  private final ControlExecutor loop;
  private final TimeSource time;
  private final DemandCollector collector = new DemandCollector();
  private FleetView view = FleetView.EMPTY;
  private int periodCount;

  DemandExchange(
      FleetMember self,
      TrafficDirector director,
      PeerTransport transport,
      ControlExecutor loop,
      TimeSource time) {
    this.self = self;
    this.director = director;
    this.transport = transport;
    this.loop = loop;
    this.time = time;
  }

  void start() {
    transport.onMessage(
        DemandMessage.class,
        received -> loop.execute(() -> receive(received.sender().name(), received.message())));
    loop.scheduleWithFixedDelay(REPORT_INTERVAL, this::reportDemand);
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
        view.members().stream().filter(known -> known.name().equals(instance)).findFirst();
    member.ifPresent(
        known ->
            transport.send(
                toEntryInstance(known),
                new DemandMessage.FleetDemand(
                    collector.instanceDemand(instance),
                    collector.fleetInstanceCount(now),
                    collector.fleetDemand(now))));
  }

  private void reportDemand() {
    long now = time.monotonicNanoseconds();
    periodCount++;
    Optional<FleetMember> chosen = DemandCollector.chooseCollector(view.members(), self.region());
    if (chosen.isEmpty()) {
      return;
    }
    Map<String, Double> demand = director.demand(now);
    if (!chosen.get().name().equals(self.name())) {
      transport.send(toEntryInstance(chosen.get()), new DemandMessage.DemandReport(demand));
      return;
    }
    collector.reportInstanceDemand(self.name(), demand, now);
    director.updateFleetDemand(
        demand, collector.fleetInstanceCount(now), collector.fleetDemand(now), now);
    if (periodCount % REGION_REPORT_PERIOD_COUNT == 0) {
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

  /** Returns an instance as the transport between instances names it. */
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

package org.corianderweir.daemon.entry;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BiConsumer;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.logic.traffic.ReportCollector;
import org.corianderweir.logic.traffic.ReportPacing;
import org.corianderweir.logic.traffic.SharedServerReport;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.protocol.ServerReportMessage;

/**
 * Shares what servers report among the entry instances of an availability zone. Each instance sends
 * what it has heard to the collector of the zone, which answers with what the others have heard. No
 * message crosses zones. Runs on the control thread.
 */
final class ReportExchange {
  /** Reports lose their weight within a second, so a few exchanges are needed within it. */
  static final Duration INTERVAL = Duration.ofMillis(250);

  private final FleetMember self;
  private final TrafficDirector director;
  private final BiConsumer<EntryInstance, ServerReportMessage> sender;
  private final EventLog events;
  private final MetricRegistry metrics;
  private final TimeSource time;
  private final ReportCollector collector = new ReportCollector();
  private final ReportPacing pacing = new ReportPacing();
  private Map<String, EntryInstance> zonePeers = Map.of();
  private Optional<FleetMember> zoneCollector = Optional.empty();
  private boolean lost;

  ReportExchange(
      FleetMember self,
      TrafficDirector director,
      BiConsumer<EntryInstance, ServerReportMessage> sender,
      EventLog events,
      MetricRegistry metrics,
      TimeSource time) {
    this.self = self;
    this.director = director;
    this.sender = sender;
    this.events = events;
    this.metrics = metrics;
    this.time = time;
  }

  void apply(FleetView view) {
    Map<String, EntryInstance> peers = new HashMap<>();
    for (FleetMember member : view.membersOf(self.zone())) {
      if (!member.name().equals(self.name())) {
        peers.put(member.name(), DemandExchange.toEntryInstance(member));
      }
    }
    zonePeers = peers;
    collector.retainInstances(peers.keySet());
    Optional<FleetMember> chosen = ReportCollector.choose(view.members(), self);
    if (!chosen.map(FleetMember::name).equals(zoneCollector.map(FleetMember::name))) {
      lost = false;
      record(chosen, "chosen");
    }
    zoneCollector = chosen;
  }

  /** Handles a message; one of an instance that is not known in this zone is dropped. */
  void receive(String instance, ServerReportMessage message) {
    EntryInstance peer = zonePeers.get(instance);
    if (peer == null) {
      return;
    }
    long now = time.monotonicNanoseconds();
    switch (message) {
      case ServerReportMessage.Heard heard -> {
        collector.merge(instance, heard.reports(), now);
        sender.accept(
            peer, new ServerReportMessage.Digest(heard.number(), collector.takeFor(instance, now)));
      }
      case ServerReportMessage.Digest digest -> {
        OptionalLong sentNanoseconds = pacing.recordAnswer(instance, digest.number());
        if (sentNanoseconds.isPresent()) {
          if (lost) {
            lost = false;
            record(zoneCollector, "answers");
          }
          applyReports(digest.reports(), sentNanoseconds.getAsLong());
        }
      }
    }
  }

  /** Sends what this instance has heard, or merges it if this instance is the collector. */
  void exchange() {
    long now = time.monotonicNanoseconds();
    if (zoneCollector.isEmpty() || zonePeers.isEmpty()) {
      return;
    }
    String name = zoneCollector.get().name();
    if (name.equals(self.name())) {
      collector.merge(name, director.takeReports(now), now);
      applyReports(collector.takeFor(name, now), now);
      return;
    }
    EntryInstance peer = zonePeers.get(name);
    if (peer == null || !pacing.maySend(name, now)) {
      return;
    }
    List<SharedServerReport> heard = director.takeReports(now);
    if (heard.isEmpty()) {
      return;
    }
    sender.accept(peer, new ServerReportMessage.Heard(pacing.recordSent(now), heard));
    metrics.meter("reports.sent").mark(heard.size());
    if (pacing.isLost() && !lost) {
      lost = true;
      record(zoneCollector, "lost");
    }
  }

  /**
   * Applies reports.
   *
   * @param since time from which their ages count
   */
  private void applyReports(List<SharedServerReport> reports, long since) {
    metrics.meter("reports.received").mark(reports.size());
    metrics.meter("reports.applied").mark(director.applyReports(reports, since));
  }

  private void record(Optional<FleetMember> member, String state) {
    events.record(
        EventCode.REPORT_COLLECTOR_CHANGED,
        self.zone(),
        "collector=%s state=%s instances=%d"
            .formatted(member.map(FleetMember::name).orElse("none"), state, zonePeers.size() + 1));
  }
}

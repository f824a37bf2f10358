package org.corianderweir.daemon.entry;

import static org.testng.Assert.assertEquals;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.logic.traffic.TrafficIndex;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.timeline.TimelineEvent;
import org.corianderweir.model.traffic.CallerLimits;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.TrafficConfiguration;
import org.corianderweir.model.traffic.TrafficRoute;
import org.corianderweir.model.traffic.WeightedService;
import org.testng.annotations.Test;

/** Tests of {@link RequestLog}. */
public class RequestLogTest {
  /** An operator could not see why requests of a misspelt kind are not repeated. */
  @Test
  public void routeOfUnknownKindIsLoggedOnceForEachVersion() {
    EventLog events = new EventLog("entry-1", new SystemTimeSource());
    RequestLog log = new RequestLog(events, new MetricRegistry());
    log.fleetChanged(view(4));
    log.fleetChanged(view(4));
    log.fleetChanged(view(5));
    List<String> details =
        events.events().stream()
            .filter(event -> event.code() == EventCode.ROUTE_KIND_UNKNOWN)
            .map(TimelineEvent::detail)
            .toList();
    assertEquals(
        details,
        List.of(
            "kind=\"sa?e?a=b\" version=4 counts-as=unsafe",
            "kind=\"sa?e?a=b\" version=5 counts-as=unsafe"));
  }

  private static FleetView view(long version) {
    List<TrafficRoute> routes =
        List.of(route("read", RequestKind.SAFE), route("odd", RequestKind.of("sa\"e\na=b")));
    TrafficConfiguration configuration =
        new TrafficConfiguration(
            version,
            routes,
            Map.of(),
            List.of(),
            new CallerLimits(1000, 1000, Duration.ofSeconds(3), Duration.ofSeconds(15)));
    return new FleetView(
        Optional.of(new TrafficIndex(configuration)),
        Map.of(),
        Set.of(),
        List.of(),
        Optional.empty(),
        1);
  }

  private static TrafficRoute route(String name, RequestKind kind) {
    return new TrafficRoute(
        name,
        "rota.example",
        "/" + name + "/",
        kind,
        Duration.ofSeconds(2),
        Duration.ofMillis(600),
        1,
        List.of(new WeightedService("desk", 1)),
        2,
        true,
        false,
        Set.of());
  }
}

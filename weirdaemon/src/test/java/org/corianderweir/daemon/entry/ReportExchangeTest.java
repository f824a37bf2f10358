package org.corianderweir.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import org.corianderweir.daemon.control.EventLog;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.traffic.Admission;
import org.corianderweir.logic.traffic.AdmittedRequest;
import org.corianderweir.logic.traffic.FleetBounds;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.logic.traffic.NextStep;
import org.corianderweir.logic.traffic.ReportCollector;
import org.corianderweir.logic.traffic.RequestAttributes;
import org.corianderweir.logic.traffic.SendOutcome;
import org.corianderweir.logic.traffic.ServerLoad;
import org.corianderweir.logic.traffic.ServerState;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.logic.traffic.TrafficIndex;
import org.corianderweir.model.timeline.EventCode;
import org.corianderweir.model.timeline.TimelineEvent;
import org.corianderweir.model.traffic.CallerLimits;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.InstanceLocation;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.ServerRegistration;
import org.corianderweir.model.traffic.TrafficConfiguration;
import org.corianderweir.model.traffic.TrafficRoute;
import org.corianderweir.model.traffic.WeightedService;
import org.corianderweir.protocol.PeerMessageCodec;
import org.corianderweir.protocol.ServerReportMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link ReportExchange} among the instances of two zones, with messages in memory. */
public class ReportExchangeTest {
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
  private static final ServerRegistration SERVER = server(1_000);

  private final List<FleetMember> members =
      List.of(
          member("entry-1", "north-a"),
          member("entry-2", "north-a"),
          member("entry-3", "north-a"),
          member("entry-4", "north-b"));
  private Map<String, Instance> instances = Map.of();
  private Queue<Sent> messages = new ArrayDeque<>();
  private Instance collector;
  private Instance first;
  private Instance second;
  private Instance otherZone;
  private long now;

  private record Sent(String from, String to, ServerReportMessage message) {}

  @BeforeMethod
  public void startInstances() {
    now = Duration.ofHours(1).toNanos();
    messages = new ArrayDeque<>();
    instances = new HashMap<>();
    for (FleetMember member : members) {
      instances.put(member.name(), new Instance(member));
    }
    instances.values().forEach(instance -> instance.apply(members, SERVER));
    String chosen = ReportCollector.choose(members, members.getFirst()).orElseThrow().name();
    collector = instances.get(chosen);
    List<Instance> others =
        members.stream()
            .filter(member -> member.zone().equals("north-a") && !member.name().equals(chosen))
            .map(member -> instances.get(member.name()))
            .toList();
    first = others.get(0);
    second = others.get(1);
    otherZone = instances.get("entry-4");
  }

  /** An instance heard from a server only every few seconds. */
  @Test
  public void reportReachesTheOthersOfTheZoneOnly() {
    first.hear(7, 250);
    otherZone.hear(2, 100);
    exchangeAll();
    pass(200);
    second.hearOther();
    collector.hearOther();
    exchangeAll();
    for (Instance instance : List.of(collector, second)) {
      assertEquals(instance.state().reportAge(now), Optional.of(Duration.ofMillis(200)));
      assertTrue(instance.state().load(now) > 5.5, instance.name);
      assertEquals(instance.state().speedRatio(now), 1.9, 0.01, instance.name);
    }
    assertEquals(otherZone.state().load(now), 2 * 0.8, 1e-6);
    assertEquals(otherZone.sentCount, 0, "no message crosses zones, and it is alone in its zone");
  }

  /** Messages of instances that have nothing to tell would be a cost without any use. */
  @Test
  public void nothingIsSentWhereThereIsNothingToTell() {
    exchangeAll();
    pass(250);
    exchangeAll();
    assertEquals(instances.values().stream().mapToInt(each -> each.sentCount).sum(), 0);
  }

  /** What the former process of a server reported would count for its next start. */
  @Test
  public void reportOfAnotherStartDoesNotCount() {
    first.hear(7, 250);
    second.apply(members, server(2_000));
    second.hearOther();
    exchangeAll();
    second.hearOther();
    pass(10);
    exchangeAll();
    assertEquals(second.state().load(now), 0, 1e-9);
    assertEquals(second.state().speedRatio(now), 1, 1e-9);
  }

  /** An answer that was under way for long would make old reports look new. */
  @Test
  public void delayOfTheAnswerIsAddedToTheAges() {
    second.hear(7, 250);
    exchangeAll();
    first.hearOther();
    first.exchange.exchange();
    deliver(1);
    pass(300);
    deliverAll();
    assertEquals(first.state().reportAge(now), Optional.of(Duration.ofMillis(300)));
  }

  /** Without the collector each instance has its own reports, and another one takes over. */
  @Test
  public void lostCollectorIsNamedAndReplaced() {
    for (int interval = 0; interval < 40; interval++) {
      first.hear(1, 100);
      first.exchange.exchange();
      messages.clear();
      pass(250);
    }
    assertEquals(first.state().load(now), 0.75, 1e-6, "its own report counts");
    assertEquals(first.sentCount, 3);
    assertEquals(first.states(), List.of("state=chosen", "state=lost"));
    List<FleetMember> left =
        members.stream().filter(member -> !member.name().equals(collector.name)).toList();
    first.apply(left, SERVER);
    second.apply(left, SERVER);
    first.hear(5, 100);
    second.hear(5, 100);
    first.exchange.exchange();
    second.exchange.exchange();
    deliverAll();
    assertEquals(first.states(), List.of("state=chosen", "state=lost", "state=chosen"));
    assertTrue(first.sentCount + second.sentCount > 3, "the two of them share");
  }

  /** A collector that answers again is used again. */
  @Test
  public void collectorThatAnswersAgainIsUsed() {
    for (int interval = 0; interval < 12; interval++) {
      first.hear(1, 100);
      first.exchange.exchange();
      messages.clear();
      pass(250);
    }
    pass(10_000);
    first.hear(1, 100);
    exchangeAll();
    assertEquals(first.states(), List.of("state=chosen", "state=lost", "state=answers"));
  }

  @Test
  public void messageOfUnknownInstanceIsDropped() {
    collector.exchange.receive("entry-9", new ServerReportMessage.Heard(1, List.of()));
    collector.exchange.receive("entry-4", new ServerReportMessage.Heard(1, List.of()));
    assertEquals(collector.sentCount, 0);
  }

  private void exchangeAll() {
    for (FleetMember member : members) {
      instances.get(member.name()).exchange.exchange();
      deliverAll();
    }
  }

  private void deliverAll() {
    while (!messages.isEmpty()) {
      deliver(1);
    }
  }

  private void deliver(int count) {
    for (int number = 0; number < count; number++) {
      Sent sent = messages.remove();
      instances.get(sent.to()).exchange.receive(sent.from(), sent.message());
    }
  }

  private void pass(long milliseconds) {
    now += milliseconds * MILLISECOND;
  }

  /** An instance with its decisions; the messages go through the codec. */
  private final class Instance {
    private final String name;
    private final EventLog events;
    private final TrafficDirector director;
    private final ReportExchange exchange;
    private int sentCount;

    Instance(FleetMember member) {
      name = member.name();
      TimeSource time =
          new TimeSource() {
            @Override
            public long monotonicNanoseconds() {
              return now;
            }

            @Override
            public long wallMilliseconds() {
              return 0;
            }
          };
      events = new EventLog(name, time);
      director =
          new TrafficDirector(
              member,
              new InstanceLocation(
                  member.zone(), "north", Map.of("north-a", "north", "north-b", "north")),
              new FleetBounds(0.2, 20, Duration.ofSeconds(10), 0.1, 20, Duration.ofSeconds(5)));
      exchange =
          new ReportExchange(
              member,
              director,
              (target, message) -> {
                sentCount++;
                ServerReportMessage decoded =
                    (ServerReportMessage) PeerMessageCodec.decode(PeerMessageCodec.encode(message));
                messages.add(new Sent(name, target.name(), decoded));
              },
              events,
              new MetricRegistry(),
              time);
    }

    void apply(List<FleetMember> present, ServerRegistration registration) {
      FleetView view = view(present, registration);
      director.apply(view, now);
      exchange.apply(view);
    }

    /** A response of the server arrives, with a report. */
    void hear(int requests, int speed) {
      end(
          send("s"),
          ServerLoad.of(
              OptionalLong.of(requests),
              OptionalLong.of(0),
              OptionalLong.of(3),
              OptionalLong.of(speed)));
    }

    /** A response of another server arrives, so that there is something to tell. */
    void hearOther() {
      AdmittedRequest request = admit("other");
      NextStep.Send send = (NextStep.Send) director.nextStep(request, now);
      end(
          new Request(request, send.server()),
          ServerLoad.of(
              OptionalLong.of(0), OptionalLong.of(0), OptionalLong.of(3), OptionalLong.of(100)));
    }

    private void end(Request sent, ServerLoad load) {
      director.sendEnded(
          sent.request(),
          sent.server(),
          new SendOutcome.Answered(
              true, false, new SendOutcome.ServerReport(load, OptionalLong.empty())),
          now,
          now);
    }

    /** Returns what the instance believes of the server, as the next request would meet it. */
    ServerState state() {
      Request sent = send("s");
      director.sendEnded(sent.request(), sent.server(), new SendOutcome.Withheld(), now, now);
      return sent.server();
    }

    private Request send(String route) {
      AdmittedRequest request = admit(route);
      return new Request(request, ((NextStep.Send) director.nextStep(request, now)).server());
    }

    private AdmittedRequest admit(String route) {
      RequestAttributes attributes =
          new RequestAttributes(
              "r",
              "rota.example",
              "/" + route + "/x",
              Optional.empty(),
              Optional.empty(),
              OptionalLong.empty(),
              Duration.ZERO);
      return ((Admission.Admitted) director.admit(attributes, now)).request();
    }

    List<String> states() {
      List<String> states = new ArrayList<>();
      for (TimelineEvent event : events.events()) {
        if (event.code() == EventCode.REPORT_COLLECTOR_CHANGED) {
          states.add(event.detail().split(" ")[1]);
        }
      }
      return states;
    }
  }

  private record Request(AdmittedRequest request, ServerState server) {}

  private static FleetView view(List<FleetMember> members, ServerRegistration registration) {
    List<TrafficRoute> routes = List.of(route("s"), route("other"));
    TrafficConfiguration configuration =
        new TrafficConfiguration(
            1,
            routes,
            Map.of(),
            List.of(),
            new CallerLimits(1000, 1000, Duration.ofSeconds(3), Duration.ofSeconds(15)));
    ServerRegistration other =
        new ServerRegistration(
            "i-2", "other", "10.0.1.2", 8080, "north-a", 3, false, Duration.ZERO, 1_000);
    return new FleetView(
        Optional.of(new TrafficIndex(configuration)),
        Map.of(registration.identifier(), registration, other.identifier(), other),
        Set.of(),
        members,
        Optional.empty(),
        1);
  }

  private static TrafficRoute route(String service) {
    return new TrafficRoute(
        service,
        "rota.example",
        "/" + service + "/",
        RequestKind.SAFE,
        Duration.ofSeconds(2),
        Duration.ofMillis(600),
        1,
        List.of(new WeightedService(service, 1)),
        2,
        true,
        false,
        Set.of());
  }

  private static ServerRegistration server(long started) {
    return new ServerRegistration(
        "i-1", "s", "10.0.1.1", 8080, "north-a", 3, false, Duration.ZERO, started);
  }

  private static FleetMember member(String name, String zone) {
    return new FleetMember(name, "10.0.0.1", 80, 81, zone, "north", 1);
  }
}

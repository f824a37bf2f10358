package org.corianderweir.daemon.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.corianderweir.kernel.TaskScheduler;
import org.corianderweir.logic.traffic.Admission;
import org.corianderweir.logic.traffic.AdmittedRequest;
import org.corianderweir.logic.traffic.FleetBounds;
import org.corianderweir.logic.traffic.FleetView;
import org.corianderweir.logic.traffic.RequestAttributes;
import org.corianderweir.logic.traffic.TrafficDirector;
import org.corianderweir.logic.traffic.TrafficIndex;
import org.corianderweir.model.traffic.CallerLimits;
import org.corianderweir.model.traffic.CallerOrganisation;
import org.corianderweir.model.traffic.FleetMember;
import org.corianderweir.model.traffic.InstanceLocation;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.TrafficConfiguration;
import org.corianderweir.model.traffic.TrafficRoute;
import org.corianderweir.model.traffic.WeightedService;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link WaitingRequests}. */
public class WaitingRequestsTest {
  private static final FleetMember SELF =
      new FleetMember("entry-1", "10.0.0.1", 80, 81, "north-a", "north", 1);

  private final TrafficDirector director = director();
  private final List<Runnable> scheduled = new ArrayList<>();
  private final List<String> resumed = new ArrayList<>();
  private WaitingRequests waiting = new WaitingRequests(new RecordingScheduler());

  /** Keeps the tasks, so that the test decides when their time has come. */
  private final class RecordingScheduler implements TaskScheduler {
    @Override
    public void execute(Runnable task) {
      task.run();
    }

    @Override
    public void schedule(Duration delay, Runnable task) {
      scheduled.add(task);
    }
  }

  @BeforeMethod
  public void begin() {
    scheduled.clear();
    resumed.clear();
    waiting = new WaitingRequests(new RecordingScheduler());
  }

  /** A less urgent request took the slot that a more urgent one waited for. */
  @Test
  public void theMostUrgentRequestOfAServiceIsResumedFirst() {
    offer("desk", 2, 1);
    offer("desk", 0, 3);
    offer("desk", 0, 2);
    offer("other", 0, 1);
    for (int number = 0; number < 4; number++) {
      waiting.resumeMostUrgent("desk");
    }
    assertEquals(resumed, List.of("desk-0-2", "desk-0-3", "desk-2-1"));
    assertEquals(waiting.count(), 1);
  }

  /** A request was sent twice, when its time was over and when a server had a free slot. */
  @Test
  public void aRequestIsResumedOnce() {
    offer("desk", 1, 1);
    offer("desk", 1, 2);
    waiting.resumeMostUrgent("desk");
    scheduled.forEach(Runnable::run);
    waiting.resumeAll();
    assertEquals(resumed, List.of("desk-1-1", "desk-1-2"));
    assertEquals(waiting.count(), 0);
  }

  /** A request whose caller had left took a slot. */
  @Test
  public void aRemovedRequestIsNotResumed() {
    AdmittedRequest request = offer("desk", 1, 1);
    assertTrue(waiting.remove(request));
    assertFalse(waiting.remove(request));
    scheduled.forEach(Runnable::run);
    waiting.resumeAll();
    assertEquals(resumed, List.of());
  }

  /** A request that waited again while all were resumed kept the loop from ending. */
  @Test
  public void aRequestMayWaitAgainWhileAllAreResumed() {
    AdmittedRequest request = request("desk", 1, 1);
    waiting.offer(
        request,
        Duration.ofMillis(1),
        () -> waiting.offer(request, Duration.ofMillis(1), () -> resumed.add("again")));
    waiting.resumeAll();
    assertEquals(waiting.count(), 1);
    waiting.resumeAll();
    assertEquals(resumed, List.of("again"));
  }

  /** Under a long shortage, waiting requests used up the memory. */
  @Test
  public void theNumberOfWaitingRequestsIsBounded() {
    AdmittedRequest request = request("desk", 1, 1);
    int held = 0;
    while (held < 1_000 && waiting.offer(request, Duration.ofMillis(1), () -> {})) {
      held++;
    }
    assertEquals(held, 64);
    waiting.resumeMostUrgent("desk");
    assertTrue(waiting.offer(request, Duration.ofMillis(1), () -> {}));
  }

  private AdmittedRequest offer(String service, int priority, long arrived) {
    AdmittedRequest request = request(service, priority, arrived);
    String name = service + "-" + priority + "-" + arrived;
    assertTrue(waiting.offer(request, Duration.ofMillis(50), () -> resumed.add(name)));
    return request;
  }

  private AdmittedRequest request(String service, int priority, long arrived) {
    RequestAttributes attributes =
        new RequestAttributes(
            "request",
            "rota.example",
            "/" + service + "/x",
            Optional.of("key-" + priority),
            Optional.empty(),
            OptionalLong.empty(),
            Duration.ZERO);
    return ((Admission.Admitted) director.admit(attributes, arrived)).request();
  }

  private static TrafficDirector director() {
    FleetBounds bounds =
        new FleetBounds(0.2, 20, Duration.ofSeconds(10), 0.1, 20, Duration.ofSeconds(5));
    TrafficConfiguration configuration =
        new TrafficConfiguration(
            1,
            List.of(route("desk"), route("other")),
            Map.of(),
            List.of(organisation(0), organisation(1), organisation(2)),
            new CallerLimits(1000, 1000, Duration.ofSeconds(3), Duration.ofSeconds(15)));
    TrafficDirector director =
        new TrafficDirector(
            SELF, new InstanceLocation("north-a", "north", Map.of("north-a", "north")), bounds);
    director.apply(
        new FleetView(
            Optional.of(new TrafficIndex(configuration)),
            Map.of(),
            Set.of(),
            List.of(SELF),
            Optional.empty(),
            1),
        0);
    return director;
  }

  private static CallerOrganisation organisation(int priority) {
    return new CallerOrganisation(
        "organisation-" + priority,
        Set.of("key-" + priority),
        OptionalInt.of(priority),
        0,
        0,
        Set.of());
  }

  private static TrafficRoute route(String service) {
    return new TrafficRoute(
        service,
        "rota.example",
        "/" + service + "/",
        RequestKind.SAFE,
        Duration.ofSeconds(2),
        Duration.ofMillis(400),
        1,
        List.of(new WeightedService(service, 1)),
        2,
        false,
        true,
        Set.of());
  }
}

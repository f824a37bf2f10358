package org.corianderweir.logic.traffic;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.corianderweir.logic.admission.Assessment;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.model.traffic.TrafficRoute;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link CapacityGate}, through the director. */
public class CapacityGateTest {
  private static final long NOW = TrafficFixture.NOW;
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
  private static final int FULL_LOAD = 12;
  private static final Duration LATENCY = Duration.ofMillis(1_500);

  private final TrafficRoute read = TrafficFixture.route("read", true, Set.of());
  private final TrafficRoute upload = TrafficFixture.route("upload", RequestKind.UPLOAD, Set.of());
  private TrafficDirector director = director(List.of(read, upload));
  private long now;

  @DataProvider
  public Object[][] reports() {
    return new Object[][] {
      {OptionalLong.of(FULL_LOAD), Set.of(Assessment.Cause.LONG_WAIT, Assessment.Cause.FLOOR)},
      {OptionalLong.of(0), Set.of(Assessment.Cause.NO_SHORTAGE)},
      {OptionalLong.empty(), Set.of(Assessment.Cause.NO_SHORTAGE)}
    };
  }

  /** Requests that would be late filled the servers' queues although all servers reported load. */
  @Test(dataProvider = "reports")
  public void lateRequestsAreRejectedOnlyWhenServersReportQueues(
      OptionalLong load, Set<Assessment.Cause> causes) {
    begin(List.of(read, upload), load);
    Set<Assessment.Cause> found = new HashSet<>();
    for (int number = 0; number < 30; number++) {
      AdmittedRequest request = admit();
      NextStep step = director.nextStep(request, now);
      Assessment.Cause cause = request.assessment().orElseThrow().cause();
      found.add(cause);
      if (step instanceof NextStep.Send send) {
        end(request, send, load);
      }
      if (cause == Assessment.Cause.LONG_WAIT) {
        NextStep.Reject rejection = (NextStep.Reject) step;
        assertEquals(rejection.reason(), RejectionReason.NO_ROOM);
        assertTrue(rejection.retryAfter().compareTo(Duration.ofMillis(667)) <= 0, "" + rejection);
      }
    }
    assertEquals(found, causes);
  }

  /** A request that may have run was reported as not run. */
  @Test
  public void aRequestThatMayHaveRunIsSentAgain() {
    begin(List.of(read, upload), OptionalLong.of(FULL_LOAD));
    AdmittedRequest request = admit();
    NextStep first = director.nextStep(request, now);
    while (!(first instanceof NextStep.Send)) {
      request = admit();
      first = director.nextStep(request, now);
    }
    ServerState server = ((NextStep.Send) first).server();
    NextStep second = director.sendEnded(request, server, new SendOutcome.Lost("test"), now, now);
    assertTrue(second instanceof NextStep.Send, "" + second);
  }

  /** Deployments without large requests lost late answers that they had been served before. */
  @Test
  public void withoutRoutesForLargeRequestsEveryRequestIsSent() {
    begin(List.of(read), OptionalLong.of(FULL_LOAD));
    for (int number = 0; number < 30; number++) {
      AdmittedRequest request = admit();
      NextStep step = director.nextStep(request, now);
      assertTrue(step instanceof NextStep.Send, "" + step);
      assertTrue(request.assessment().isEmpty());
      end(request, (NextStep.Send) step, OptionalLong.of(FULL_LOAD));
    }
  }

  /** Creates a director and answers requests late for some seconds. */
  private void begin(List<TrafficRoute> routes, OptionalLong load) {
    director = director(routes);
    now = NOW;
    for (int number = 0; number < 100; number++) {
      AdmittedRequest request = admit();
      if (director.nextStep(request, now) instanceof NextStep.Send send) {
        end(request, send, load);
      }
      now += 50 * MILLISECOND;
    }
  }

  private void end(AdmittedRequest request, NextStep.Send send, OptionalLong load) {
    SendOutcome answer =
        new SendOutcome.Answered(
            true,
            false,
            new SendOutcome.ServerReport(
                ServerLoad.of(load, OptionalLong.of(0), OptionalLong.empty(), OptionalLong.empty()),
                OptionalLong.empty()));
    director.sendEnded(request, send.server(), answer, now - LATENCY.toNanos(), now);
  }

  private AdmittedRequest admit() {
    Admission admission = director.admit(TrafficFixture.request("read", "1"), now);
    return ((Admission.Admitted) admission).request();
  }

  private TrafficDirector director(List<TrafficRoute> routes) {
    TrafficDirector created =
        new TrafficDirector(TrafficFixture.SELF, TrafficFixture.LOCATION, TrafficFixture.BOUNDS);
    created.apply(TrafficFixture.view(routes, TrafficFixture.servers("north-a", 4), Set.of()), NOW);
    return created;
  }
}

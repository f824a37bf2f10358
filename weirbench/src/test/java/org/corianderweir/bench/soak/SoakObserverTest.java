package org.corianderweir.bench.soak;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.corianderweir.bench.soak.SoakEvidence.Call;
import org.corianderweir.bench.soak.SoakEvidence.Disturbance;
import org.corianderweir.bench.soak.SoakEvidence.Ending;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that {@link SoakObserver} notices each broken promise and excuses what is allowed. */
public class SoakObserverTest {
  private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
  private static final long CALM = 100 * SECOND;
  private static final Ending SERVED = new Ending.Answered(200, true);
  private static final Ending REFUSED = new Ending.Answered(503, false);
  private static final Ending FOREIGN = new Ending.Answered(200, false);
  private static final Ending LEFT = new Ending.Left();
  private static final Ending CUT = new Ending.Cut();
  private static final Ending UNREAD = new Ending.Unread();

  @DataProvider
  public Object[][] calls() {
    String none = "";
    return new Object[][] {
      {"served", call(false, SERVED), new long[] {11}, none},
      {"ran twice", call(false, SERVED), new long[] {11, 12}, "runs at most once"},
      {"idempotent, ran twice", call(true, SERVED), new long[] {11, 12}, none},
      {"refused", call(false, REFUSED), new long[] {}, none},
      {"refused, but ran", call(true, REFUSED), new long[] {11}, "a refusal is true"},
      {
        "answer of another", call(true, FOREIGN), new long[] {11}, "the answer is the request's own"
      },
      {"left while it ran", call(true, LEFT), new long[] {11}, none},
      {
        "ran after it left", call(true, LEFT), new long[] {14}, "no work for callers that have left"
      },
      {"cut", call(true, CUT), new long[] {11}, none},
      {"not read", call(true, UNREAD), new long[] {}, none},
      {"not read, but ran", call(true, UNREAD), new long[] {11}, "an unread request does not run"}
    };
  }

  @Test(dataProvider = "calls")
  public void brokenPromisesAreNoticed(String name, Call call, long[] runSeconds, String promise) {
    SoakEvidence evidence = new SoakEvidence();
    evidence.record(call);
    for (long second : runSeconds) {
      evidence.recordRun(call.request(), "server", second * SECOND);
    }
    recordCalm(evidence, 1);
    assertEquals(
        new SoakObserver(evidence)
            .violations(CALM).stream().map(SoakObserver.Violation::promise).toList(),
        promise.isEmpty() ? List.of() : List.of(promise),
        name);
  }

  @DataProvider
  public Object[][] disturbances() {
    Disturbance plannedStop = new Disturbance(1, true, 9 * SECOND, 13 * SECOND);
    Disturbance otherInstance = new Disturbance(2, true, 9 * SECOND, 13 * SECOND);
    Disturbance pause = new Disturbance(1, false, 8 * SECOND, 9 * SECOND + SECOND / 2);
    return new Object[][] {
      {List.of(plannedStop), CUT, 11L, 1},
      {List.of(otherInstance), CUT, 11L, 0},
      {List.of(plannedStop, pause), CUT, 11L, 0},
      {List.of(pause), LEFT, 14L, 0}
    };
  }

  @Test(dataProvider = "disturbances")
  public void onlyWhatWasDoneToTheInstanceExcuses(
      List<Disturbance> disturbances, Ending ending, long runSecond, int violations) {
    SoakEvidence evidence = new SoakEvidence();
    disturbances.forEach(evidence::record);
    evidence.record(call(true, ending));
    evidence.recordRun("request", "server", runSecond * SECOND);
    recordCalm(evidence, 1);
    assertEquals(new SoakObserver(evidence).violations(CALM).size(), violations);
  }

  @Test
  public void fleetThatDoesNotServeAgainIsNoticed() {
    SoakEvidence evidence = new SoakEvidence();
    recordCalm(evidence, 9);
    evidence.record(new Call("late", true, 1, 101 * SECOND, 102 * SECOND, REFUSED));
    assertEquals(
        new SoakObserver(evidence).violations(CALM),
        List.of(new SoakObserver.Violation("requests are served again", "ratio 0.9")));
  }

  @DataProvider
  public Object[][] limitedRequests() {
    int allowed = LimitObserver.allowedInWindow();
    return new Object[][] {
      {"as many as allowed", allowed, 0, 0},
      {"one more", allowed + 1, 0, 1},
      {"one more, sent before the window", allowed + 1, -2 * SECOND, 0}
    };
  }

  @Test(dataProvider = "limitedRequests")
  public void excessOverARateLimitIsNoticed(
      String name, int count, long sentBefore, int violations) {
    SoakEvidence evidence = new SoakEvidence();
    for (int number = 0; number < count; number++) {
      long arrived = 10 * SECOND + number * 5 * SECOND / count;
      long sent = number == 0 ? arrived + sentBefore : arrived;
      evidence.record(new Call("limited-" + number, true, true, 1, sent, arrived, SERVED));
      evidence.record(new SoakEvidence.Arrival("limited-" + number, "server", arrived));
    }
    recordCalm(evidence, 1);
    assertEquals(new SoakObserver(evidence).violations(CALM).size(), violations, name);
  }

  /** A request to instance 1, sent at 10 s and ended at 12 s. */
  private static Call call(boolean idempotent, Ending ending) {
    return new Call("request", idempotent, 1, 10 * SECOND, 12 * SECOND, ending);
  }

  private static void recordCalm(SoakEvidence evidence, int count) {
    for (int number = 0; number < count; number++) {
      evidence.record(new Call("calm-" + number, true, 1, 101 * SECOND, 102 * SECOND, SERVED));
    }
  }
}

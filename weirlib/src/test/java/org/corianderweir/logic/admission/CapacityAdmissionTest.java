package org.corianderweir.logic.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link CapacityAdmission}. */
public class CapacityAdmissionTest {
  private static final String POOL = "desk/north";
  private static final WorkKind KIND = new WorkKind("read", "north", true);
  private static final long MILLISECOND = Duration.ofMillis(1).toNanos();
  private static final long NOW = Duration.ofHours(1).toNanos();
  private static final long TARGET = 400 * MILLISECOND;
  private static final long WORK = 100 * MILLISECOND;

  private final SplittableRandom random = new SplittableRandom(1);

  @DataProvider
  public Object[][] decisions() {
    return new Object[][] {
      // load, work, priority, deadline left, whether short, cause
      {0, 100, 2, 2_000, true, Assessment.Cause.IN_TIME},
      {9, 100, 2, 2_000, true, Assessment.Cause.IN_TIME},
      {20, 0, 2, 2_000, true, Assessment.Cause.UNKNOWN_WORK},
      {20, 100, 2, 2_000, false, Assessment.Cause.NO_SHORTAGE},
      {20, 100, 2, 2_000, true, Assessment.Cause.LONG_WAIT},
      {20, 100, 0, 500, true, Assessment.Cause.PAST_DEADLINE},
      {20, 100, 0, 500, false, Assessment.Cause.PAST_DEADLINE},
      {0, 600, 0, 500, false, Assessment.Cause.NO_SHORTAGE},
      {0, 600, 0, 500, true, Assessment.Cause.PAST_DEADLINE},
      {0, 600, 2, 2_000, true, Assessment.Cause.SHORT_WAIT},
      {5, 600, 0, 2_000, true, Assessment.Cause.SHORT_WAIT},
      {5, 600, 2, 2_000, true, Assessment.Cause.LONG_WAIT}
    };
  }

  /** A rule that is tried in the wrong order rejects requests that servers have room for. */
  @Test(dataProvider = "decisions")
  public void theFirstRuleThatAppliesDecides(
      int load,
      long workMilliseconds,
      int priority,
      long deadlineMilliseconds,
      boolean isShort,
      Assessment.Cause cause) {
    CapacityAdmission admission = admission(isShort ? 9 : 0);
    AdmissionRequest request =
        request(priority).deadlineLeft(deadlineMilliseconds * MILLISECOND).build();
    AdmissionResult result =
        decide(admission, request, candidate(load, workMilliseconds * MILLISECOND));
    assertEquals(result.assessment().cause(), cause);
  }

  /**
   * An instance without reports rejected requests although nothing showed that servers are full.
   */
  @Test
  public void withoutRecentReportsLateRequestsAreSent() {
    CapacityAdmission admission = admission(9);
    long later = NOW + Duration.ofSeconds(3).toNanos();
    AdmissionResult result =
        admission.decide(POOL, request(2).build(), candidate(20, WORK), random, later);
    assertEquals(result.assessment().cause(), Assessment.Cause.NO_SHORTAGE);
  }

  /** Callers that returned together, or after their deadline, found the servers full again. */
  @Test
  public void callersReturnSpreadAndBeforeTheirDeadline() {
    CapacityAdmission admission = admission(9);
    long least = Long.MAX_VALUE;
    long most = 0;
    for (int number = 0; number < 100; number++) {
      AdmissionResult result =
          admission.explain(POOL, request(2).build(), candidate(20, WORK), random, NOW);
      long wait = ((AdmissionResult.Reject) result).retryAfter().toNanos();
      least = Math.min(least, wait);
      most = Math.max(most, wait);
    }
    assertTrue(most - least > 100 * MILLISECOND, least + " to " + most);
    AdmissionRequest hopeless = request(2).deadlineLeft(300 * MILLISECOND).build();
    AdmissionResult result = decide(admission, hopeless, candidate(20, WORK));
    long wait = ((AdmissionResult.Reject) result).retryAfter().toNanos();
    assertTrue(wait > 0 && wait <= 100 * MILLISECOND, "" + wait);
  }

  /** A request waits only if the excess is short, and never longer than an eighth of the target. */
  @Test
  public void aRequestWaitsForAShortExcessOnce() {
    CapacityAdmission admission = admission(9);
    for (int number = 0; number < 10; number++) {
      decide(admission, request(2).build(), candidate(0, WORK));
    }
    Candidate candidate = candidate(5, 400 * MILLISECOND);
    AdmissionRequest fresh = request(2).mayWait(true).build();
    assertEquals(
        ((AdmissionResult.WaitUntil) decide(admission, fresh, candidate)).untilNanoseconds(),
        NOW + TARGET / 8);
    AdmissionRequest held = request(2).mayWait(true).target(TARGET, TARGET * 7 / 8).build();
    assertEquals(decide(admission, held, candidate).getClass(), AdmissionResult.Reject.class);
    assertEquals(
        decide(admission, request(2).build(), candidate).getClass(), AdmissionResult.Reject.class);
  }

  /** A class whose requests were all expected late got nothing while servers accepted others. */
  @Test
  public void aThirdOfAClassIsSent() {
    CapacityAdmission admission = admission(9);
    int sent = 0;
    for (int number = 0; number < 300; number++) {
      AdmissionResult result = decide(admission, request(2).build(), candidate(20, WORK));
      sent += result instanceof AdmissionResult.Send ? 1 : 0;
    }
    assertTrue(sent >= 99 && sent <= 103, "" + sent);
  }

  /** An organisation at five times its usual demand took the places of the others. */
  @Test
  public void anOrganisationWithALargeShareWaitsLess() {
    CapacityAdmission admission = admission(9);
    for (int number = 0; number < 200; number++) {
      int organisation = number % 4 == 0 ? number % 40 : 0;
      decide(
          admission,
          request(0).organisation("organisation " + organisation).build(),
          candidate(0, WORK));
    }
    AdmissionRequest large = request(1).organisation("organisation 0").build();
    AdmissionRequest usual = request(1).organisation("organisation 4").build();
    long largeWait =
        admission.explain(POOL, large, candidate(20, WORK), random, NOW).assessment().allowedWait();
    long usualWait =
        admission.explain(POOL, usual, candidate(20, WORK), random, NOW).assessment().allowedWait();
    assertTrue(largeWait * 2 < usualWait, largeWait + " and " + usualWait);
  }

  @DataProvider
  public Object[][] brokenFigures() {
    return new Object[][] {
      {Double.NaN, 0, Double.NaN, Double.NaN},
      {-1, -3, 0, -1},
      {Double.POSITIVE_INFINITY, 3, Double.POSITIVE_INFINITY, 7}
    };
  }

  /** A server's report with a figure out of range made each request to it fail. */
  @Test(dataProvider = "brokenFigures")
  public void figuresOutOfRangeAreReplaced(
      double load, int slots, double speed, double reportWeight) {
    Candidate candidate = new Candidate(load, slots, speed, reportWeight, WORK);
    AdmissionResult result = decide(admission(9), request(0).build(), candidate);
    assertTrue(result.assessment().freeSlots() >= 0);
  }

  private AdmissionResult decide(
      CapacityAdmission admission, AdmissionRequest request, Candidate candidate) {
    return admission.decide(POOL, request, candidate, random, NOW);
  }

  private static AdmissionRequest.Builder request(int priority) {
    return AdmissionRequest.builder()
        .organisation("club")
        .priority(priority)
        .target(TARGET, TARGET)
        .deadlineLeft(2_000 * MILLISECOND);
  }

  private static Candidate candidate(int load, long workNanoseconds) {
    return new Candidate(load, 3, 1, 1, workNanoseconds);
  }

  /**
   * Returns an admission that has heard from servers with the given number of requests, and half of
   * whose answers were late because they waited.
   */
  private static CapacityAdmission admission(int reportedRequests) {
    CapacityAdmission admission = new CapacityAdmission();
    for (int number = 0; number < 20; number++) {
      admission.recordReport(POOL, reportedRequests, 3, NOW);
      admission.recordAnswer(POOL, KIND, candidate(0, 0), TARGET, WORK, NOW);
      admission.recordAnswer(POOL, KIND, candidate(14, 0), TARGET, 5 * WORK, NOW);
    }
    return admission;
  }
}

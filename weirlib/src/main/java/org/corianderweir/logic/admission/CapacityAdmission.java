package org.corianderweir.logic.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Decides whether a request is sent to the server that was chosen for it, waits at the instance, or
 * is rejected, from what this instance has seen of answers and reports. Not thread-safe.
 *
 * <p>A pool is a set of servers whose shortage is measured together: those of one service in one
 * region. Without reports all requests are sent, except those whose answer is expected after their
 * deadline.
 */
public final class CapacityAdmission {
  /** Longest wait at the instance, as a part of the target latency. */
  private static final double LONGEST_HOLD_RATIO = 0.125;

  /** Longest time until a caller may return, as a part of the time to its deadline. */
  private static final double LONGEST_RETURN_RATIO = 1.0 / 3;

  /**
   * Part of the target latency that a late request of the most urgent class may add as a wait. Each
   * further class gets half as much. A smaller part rejects requests that would soon be served.
   */
  private static final double MOST_URGENT_WAIT_RATIO = 2.0 / 3;

  private static final double CLASS_WAIT_RATIO = 0.5;

  /** Bounds of the part of a wait's excess after which a caller may return. */
  private static final double EARLIEST_RETURN_RATIO = 0.25;

  private static final double LATEST_RETURN_RATIO = 0.75;

  private static final long SHORTEST_RETURN_NANOSECONDS = 20_000_000;

  /** Weight of a measurement of work that began behind other requests. */
  private static final double WAITED_WORK_WEIGHT = 0.2;

  private final Map<String, Pool> pools = new HashMap<>();
  private final WorkAverages works = new WorkAverages();

  private static final class Pool {
    final ShortageMeter shortage = new ShortageMeter();
    final DemandShares demand = new DemandShares();
  }

  /** Returns the expected work of a request in nanoseconds, or 0 if it is unknown. */
  public long work(WorkKind kind, long nowNanoseconds) {
    return works.work(kind, nowNanoseconds);
  }

  /** Decides about a request and counts it, unless it waits. */
  public AdmissionResult decide(
      String pool,
      AdmissionRequest request,
      Candidate candidate,
      RandomGenerator random,
      long nowNanoseconds) {
    AdmissionResult result = explain(pool, request, candidate, random, nowNanoseconds);
    record(pool, request, result, nowNanoseconds);
    return result;
  }

  /** Counts a request that was decided about, unless it waits. */
  public void record(
      String pool, AdmissionRequest request, AdmissionResult result, long nowNanoseconds) {
    if (request.unsent() && !(result instanceof AdmissionResult.WaitUntil)) {
      pool(pool)
          .demand
          .record(
              request.priority(),
              request.organisation(),
              result instanceof AdmissionResult.Send,
              nowNanoseconds);
    }
  }

  /** Returns the decision about a request. Changes nothing but the state of the random source. */
  public AdmissionResult explain(
      String pool,
      AdmissionRequest request,
      Candidate candidate,
      RandomGenerator random,
      long nowNanoseconds) {
    Pool known = Optional.ofNullable(pools.get(pool)).orElseGet(Pool::new);
    Assessment assessment = assess(known, request, candidate, nowNanoseconds);
    return switch (assessment.cause()) {
      case UNKNOWN_WORK, IN_TIME, NO_SHORTAGE, SHORT_WAIT, FLOOR ->
          new AdmissionResult.Send(assessment);
      case PAST_DEADLINE -> reject(request, assessment, random);
      case LONG_WAIT -> {
        double excess = assessment.expectedWait() - assessment.allowedWait();
        double hold = holdLeft(request);
        yield request.mayWait() && hold > 0 && excess <= hold
            ? new AdmissionResult.WaitUntil(nowNanoseconds + Math.round(hold), assessment)
            : reject(request, assessment, random);
      }
    };
  }

  /** Records the requests that a server of a pool reported, running and waiting, and its slots. */
  public void recordReport(String pool, long requests, int slots, long nowNanoseconds) {
    pool(pool).shortage.recordReport(Math.max(0, requests), Math.max(1, slots), nowNanoseconds);
  }

  /**
   * Records an answer.
   *
   * @param candidate the server as it was known when the request was sent
   * @param latencyNanoseconds time from the send to the answer
   */
  public void recordAnswer(
      String pool,
      WorkKind kind,
      Candidate candidate,
      long targetLatency,
      long latencyNanoseconds,
      long nowNanoseconds) {
    ShortageMeter shortage = pool(pool).shortage;
    double waitRatio = waitRatio(shortage, candidate, nowNanoseconds);
    double latencyAtUsualSpeed = latencyNanoseconds / candidate.speed();
    long expectedWork = work(kind, nowNanoseconds);
    // What a latency differs from the expected one is divided between the wait and the work.
    double work =
        expectedWork == 0
            ? latencyAtUsualSpeed / (1 + waitRatio)
            : latencyAtUsualSpeed * expectedWork / (expectedWork + waitRatio * shortage.meanWork());
    double weight = waitRatio > 0 ? WAITED_WORK_WEIGHT : 1;
    shortage.recordAnswer(
        latencyNanoseconds,
        Math.round((expectedWork == 0 ? work : expectedWork) * candidate.speed()),
        targetLatency,
        nowNanoseconds);
    shortage.recordWork(work, weight, nowNanoseconds);
    works.record(kind, work, weight, nowNanoseconds);
  }

  private Pool pool(String name) {
    return pools.computeIfAbsent(name, unused -> new Pool());
  }

  private static Assessment assess(
      Pool pool, AdmissionRequest request, Candidate candidate, long nowNanoseconds) {
    ShortageMeter shortage = pool.shortage;
    double wait = expectedWait(shortage, candidate, nowNanoseconds);
    double time = wait + candidate.workNanoseconds() * candidate.speed();
    double allowed =
        request.targetLatency()
            * waitPart(request.priority())
            * pool.demand.partOf(request.organisation(), nowNanoseconds);
    boolean isShort = shortage.isShort(request.targetLatency(), nowNanoseconds);
    Assessment.Cause cause;
    if (candidate.workNanoseconds() <= 0) {
      cause = Assessment.Cause.UNKNOWN_WORK;
    } else if (time <= request.targetLeft()) {
      cause = Assessment.Cause.IN_TIME;
    } else if (time > request.deadlineLeft() && (isShort || wait > 0)) {
      cause = Assessment.Cause.PAST_DEADLINE;
    } else if (!isShort) {
      cause = Assessment.Cause.NO_SHORTAGE;
    } else if (wait <= allowed) {
      cause = Assessment.Cause.SHORT_WAIT;
    } else if (pool.demand.isBelowFloor(request.priority(), request.organisation())) {
      cause = Assessment.Cause.FLOOR;
    } else {
      cause = Assessment.Cause.LONG_WAIT;
    }
    return new Assessment(
        cause,
        candidate.workNanoseconds() <= 0 ? 0 : Math.round(time),
        Math.round(wait),
        Math.round(allowed),
        candidate.freeSlots(),
        candidate.reportWeight(),
        shortage.lateShare(nowNanoseconds),
        Math.round(shortage.meanWaitRatio(nowNanoseconds) * shortage.meanWork()));
  }

  /**
   * Returns the expected wait at a server. As the report of the server gets older, the mean of the
   * reports of the pool takes its place.
   */
  private static double expectedWait(
      ShortageMeter shortage, Candidate candidate, long nowNanoseconds) {
    return waitRatio(shortage, candidate, nowNanoseconds) * shortage.meanWork() * candidate.speed();
  }

  private static double waitRatio(
      ShortageMeter shortage, Candidate candidate, long nowNanoseconds) {
    double pooled = (1 - candidate.reportWeight()) * shortage.meanWaitRatio(nowNanoseconds);
    return Math.max(candidate.waitRatio(), pooled);
  }

  /** Returns the part of the target latency that a late request may add as a wait. */
  private static double waitPart(int priority) {
    return MOST_URGENT_WAIT_RATIO * Math.pow(CLASS_WAIT_RATIO, priority);
  }

  private static double holdLeft(AdmissionRequest request) {
    return request.targetLeft() - (1 - LONGEST_HOLD_RATIO) * request.targetLatency();
  }

  /**
   * Rejects for a part of the excess of the wait, spread so that callers return one by one. A
   * caller that returns after the whole excess is too late for its target latency.
   */
  private static AdmissionResult reject(
      AdmissionRequest request, Assessment assessment, RandomGenerator random) {
    double excess = Math.max(0, assessment.expectedWait() - assessment.allowedWait());
    double spread =
        SHORTEST_RETURN_NANOSECONDS
            + excess * random.nextDouble(EARLIEST_RETURN_RATIO, LATEST_RETURN_RATIO);
    double longest = LONGEST_RETURN_RATIO * Math.max(0, request.deadlineLeft());
    return new AdmissionResult.Reject(
        Duration.ofNanos(Math.round(Math.min(spread, longest))), assessment);
  }
}

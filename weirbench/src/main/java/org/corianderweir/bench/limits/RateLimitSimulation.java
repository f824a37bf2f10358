package org.corianderweir.bench.limits;

import java.util.SplittableRandom;
import org.corianderweir.logic.limits.AdmissionController;
import org.corianderweir.logic.limits.AdmissionDecision;
import org.corianderweir.logic.limits.Allowance;

/**
 * One run of one way under one pattern.
 *
 * @param deployment latencies
 * @param pattern demand and faults
 * @param limit rate and burst of the organisation
 * @param scheduler simulated time
 * @param statistics outcomes
 */
record RateLimitSimulation(
    SimulatedFleet deployment,
    DemandPattern pattern,
    Allowance limit,
    EventScheduler scheduler,
    AdmissionStatistics statistics) {
  static final long DURATION_NANOSECONDS = 60 * EventScheduler.SECOND_NANOSECONDS;
  static final long WARM_UP_NANOSECONDS = 12 * EventScheduler.SECOND_NANOSECONDS;
  static final long DEADLINE_NANOSECONDS = 2 * EventScheduler.SECOND_NANOSECONDS;
  static final long TICK_INTERVAL_NANOSECONDS = 20 * EventScheduler.MILLISECOND_NANOSECONDS;

  static RateLimitSimulation of(SimulatedFleet deployment, DemandPattern pattern, Allowance limit) {
    return new RateLimitSimulation(
        deployment, pattern, limit, new EventScheduler(), new AdmissionStatistics(limit));
  }

  /** Offers the demand to a way until the end and returns what became of it. */
  AdmissionStatistics run(RateLimiter rateLimiter, SplittableRandom arrivals) {
    scheduleArrivals(rateLimiter, arrivals);
    scheduler.runUntil(DURATION_NANOSECONDS + DEADLINE_NANOSECONDS);
    return statistics;
  }

  private void scheduleArrivals(RateLimiter rateLimiter, SplittableRandom arrivals) {
    double perSecond = limit.rate() * pattern.demandRatio();
    long interarrivalNanoseconds =
        (long)
            (EventScheduler.SECOND_NANOSECONDS * -Math.log(1 - arrivals.nextDouble()) / perSecond);
    scheduler.schedule(
        interarrivalNanoseconds,
        () -> {
          if (scheduler.nowNanoseconds() < DURATION_NANOSECONDS) {
            int instance = pattern.chooseInstance(scheduler.nowNanoseconds(), arrivals);
            rateLimiter.handleRequest(instance, scheduler.nowNanoseconds() >= WARM_UP_NANOSECONDS);
            scheduleArrivals(rateLimiter, arrivals);
          }
        });
  }

  /** Sends a request through the gate of an instance, as a daemon does. */
  void submit(
      AdmissionController controller, long travelNanoseconds, boolean measured, Runnable onQueued) {
    long arrivalNanoseconds = scheduler.nowNanoseconds() - travelNanoseconds;
    if (controller.tryAdmit(scheduler.nowNanoseconds())) {
      statistics.recordAdmission(
          scheduler.nowNanoseconds(), scheduler.nowNanoseconds() - arrivalNanoseconds, measured);
      return;
    }
    boolean queued =
        controller.tryEnqueue(
            decision -> {
              if (decision instanceof AdmissionDecision.Admitted) {
                statistics.recordAdmission(
                    scheduler.nowNanoseconds(),
                    scheduler.nowNanoseconds() - arrivalNanoseconds,
                    measured);
              } else {
                statistics.recordRefusal(measured);
              }
            },
            arrivalNanoseconds + DEADLINE_NANOSECONDS,
            scheduler.nowNanoseconds());
    if (queued) {
      onQueued.run();
    } else {
      statistics.recordRefusal(measured);
    }
  }

  /** Pumps a gate again and again, for ways without a control thread. */
  void scheduleQueueProcessing(AdmissionController controller) {
    controller.processQueue(scheduler.nowNanoseconds());
    scheduler.schedule(TICK_INTERVAL_NANOSECONDS, () -> scheduleQueueProcessing(controller));
  }
}

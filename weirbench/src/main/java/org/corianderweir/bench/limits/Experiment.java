package org.corianderweir.bench.limits;

import java.util.SplittableRandom;
import org.corianderweir.logic.limits.AdmissionDecision;
import org.corianderweir.logic.limits.AdmissionGate;
import org.corianderweir.logic.limits.Allowance;

/**
 * One run of one way under one pattern.
 *
 * @param deployment latencies
 * @param pattern demand and faults
 * @param limit rate and burst of the organisation
 * @param time simulated time
 * @param tally outcomes
 */
record Experiment(
    Deployment deployment, Pattern pattern, Allowance limit, SimulatedTime time, Tally tally) {
  static final long DURATION = 60 * SimulatedTime.SECOND;
  static final long WARM_UP = 12 * SimulatedTime.SECOND;
  static final long DEADLINE = 2 * SimulatedTime.SECOND;
  static final long TICK = 20 * SimulatedTime.MILLISECOND;

  static Experiment of(Deployment deployment, Pattern pattern, Allowance limit) {
    return new Experiment(deployment, pattern, limit, new SimulatedTime(), new Tally(limit));
  }

  /** Offers the demand to a way until the end and returns what became of it. */
  Tally run(Admitter admitter, SplittableRandom arrivals) {
    offer(admitter, arrivals);
    time.runUntil(DURATION + DEADLINE);
    return tally;
  }

  private void offer(Admitter admitter, SplittableRandom arrivals) {
    double perSecond = limit.rate() * pattern.load();
    long pause = (long) (SimulatedTime.SECOND * -Math.log(1 - arrivals.nextDouble()) / perSecond);
    time.after(
        pause,
        () -> {
          if (time.now() < DURATION) {
            int place = pattern.place(time.now(), arrivals);
            admitter.request(place, time.now() >= WARM_UP);
            offer(admitter, arrivals);
          }
        });
  }

  /** Sends a request through the gate of an instance, as a daemon does. */
  void through(AdmissionGate gate, long extraNanoseconds, boolean measured, Runnable onWait) {
    long arrived = time.now() - extraNanoseconds;
    if (gate.tryAdmit(time.now())) {
      tally.countAdmitted(time.now(), time.now() - arrived, measured);
      return;
    }
    boolean waits =
        gate.tryWait(
            decision -> {
              if (decision instanceof AdmissionDecision.Admitted) {
                tally.countAdmitted(time.now(), time.now() - arrived, measured);
              } else {
                tally.countRefused(measured);
              }
            },
            arrived + DEADLINE,
            time.now());
    if (waits) {
      onWait.run();
    } else {
      tally.countRefused(measured);
    }
  }

  /** Pumps a gate again and again, for ways without a control thread. */
  void pump(AdmissionGate gate) {
    gate.pump(time.now());
    time.after(TICK, () -> pump(gate));
  }
}

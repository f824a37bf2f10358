package org.corianderweir.bench.limits;

import org.corianderweir.logic.limits.AdmissionGate;
import org.corianderweir.logic.limits.LimitTiming;
import org.corianderweir.logic.limits.SliceBucket;

/**
 * One instance decides on every request of the organisation. A request that can't reach it is
 * refused at its deadline; a successor takes over after the takeover time.
 */
final class OwnerAdmitter implements Admitter {
  private static final int SUCCESSOR = Deployment.ZONES;

  private final Experiment experiment;
  private final AdmissionGate gate;

  OwnerAdmitter(Experiment experiment) {
    this.experiment = experiment;
    SliceBucket bucket = new SliceBucket(0);
    bucket.setOwn(experiment.limit(), 0);
    bucket.renewOwn(Long.MAX_VALUE, 0);
    gate = new AdmissionGate(bucket, experiment.limit().rate());
    experiment.pump(gate);
  }

  @Override
  public void request(int instance, boolean measured) {
    SimulatedTime time = experiment.time();
    boolean alive = experiment.pattern().alive(Pattern.FAILED_INSTANCE, time.now());
    long takenOver = Pattern.FAULT_BEGINS + LimitTiming.TAKEOVER.toNanos();
    int owner = alive ? Pattern.FAILED_INSTANCE : SUCCESSOR;
    boolean reachable =
        experiment.pattern().connected(instance, owner, time.now())
            && (alive || time.now() >= takenOver);
    if (!reachable) {
      experiment.tally().countRefused(measured);
      return;
    }
    long latency =
        instance == owner ? 0 : experiment.deployment().latencyNanoseconds(instance, owner);
    long travel = 2 * latency;
    time.after(latency, () -> experiment.through(gate, travel, measured, () -> {}));
  }
}

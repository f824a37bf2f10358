package org.corianderweir.bench.limits;

import org.corianderweir.logic.limits.AdmissionGate;
import org.corianderweir.logic.limits.Allowance;
import org.corianderweir.logic.limits.SliceBucket;

/**
 * One bucket for the whole fleet that everybody reaches in no time; while a zone is cut off, one
 * bucket for each side with its share of the limit.
 */
final class IdealAdmitter implements Admitter {
  private final Experiment experiment;
  private final AdmissionGate whole;
  private final AdmissionGate inside;
  private final AdmissionGate outside;

  IdealAdmitter(Experiment experiment) {
    this.experiment = experiment;
    whole = gate(1);
    inside = gate(1.0 / Deployment.ZONES);
    outside = gate((Deployment.ZONES - 1.0) / Deployment.ZONES);
  }

  @Override
  public void request(int instance, boolean measured) {
    boolean cut =
        !experiment
            .pattern()
            .connected(Pattern.CUT_ZONE, Pattern.CUT_ZONE + 1, experiment.time().now());
    AdmissionGate side = Deployment.zone(instance) == Pattern.CUT_ZONE ? inside : outside;
    experiment.through(cut ? side : whole, 0, measured, () -> {});
  }

  private AdmissionGate gate(double share) {
    Allowance limit = experiment.limit();
    SliceBucket bucket = new SliceBucket(0);
    bucket.setOwn(new Allowance(limit.rate() * share, limit.capacity() * share), 0);
    bucket.renewOwn(Long.MAX_VALUE, 0);
    AdmissionGate gate = new AdmissionGate(bucket, limit.rate() * share);
    experiment.pump(gate);
    return gate;
  }
}

package org.corianderweir.bench.limits;

import java.util.ArrayList;
import java.util.List;
import org.corianderweir.logic.limits.AdmissionGate;
import org.corianderweir.logic.limits.Allowance;
import org.corianderweir.logic.limits.SliceBucket;
import org.corianderweir.logic.limits.SliceDivision;

/** Fixed slices without loans; a slice is lost with its instance. */
final class FixedAdmitter implements Admitter {
  private final Experiment experiment;
  private final List<AdmissionGate> gates = new ArrayList<>();

  FixedAdmitter(Experiment experiment) {
    this.experiment = experiment;
    for (int instance = 0; instance < Deployment.INSTANCES; instance++) {
      Allowance slice = SliceDivision.slice(experiment.limit(), instance, Deployment.INSTANCES);
      SliceBucket bucket = new SliceBucket(0);
      bucket.setOwn(slice, 0);
      bucket.renewOwn(Long.MAX_VALUE, 0);
      AdmissionGate gate = new AdmissionGate(bucket, slice.rate());
      gates.add(gate);
      experiment.pump(gate);
    }
  }

  @Override
  public void request(int instance, boolean measured) {
    experiment.through(gates.get(instance), 0, measured, () -> {});
  }
}

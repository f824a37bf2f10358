package org.corianderweir.bench.limits;

import java.util.ArrayList;
import java.util.List;
import org.corianderweir.logic.limits.AdmissionController;
import org.corianderweir.logic.limits.Allowance;
import org.corianderweir.logic.limits.SliceBucket;
import org.corianderweir.logic.limits.SliceDivision;

/**
 * Gives each instance a fixed slice of the limit, without loans. When an instance fails, its slice
 * is lost.
 */
final class FixedSliceRateLimiter implements RateLimiter {
  private final RateLimitSimulation simulation;
  private final List<AdmissionController> controllers = new ArrayList<>();

  FixedSliceRateLimiter(RateLimitSimulation simulation) {
    this.simulation = simulation;
    for (int instance = 0; instance < SimulatedFleet.INSTANCE_COUNT; instance++) {
      Allowance slice =
          SliceDivision.slice(simulation.limit(), instance, SimulatedFleet.INSTANCE_COUNT);
      SliceBucket bucket = new SliceBucket(0);
      bucket.setOwnAllowance(slice, 0);
      bucket.renewOwnAllowance(Long.MAX_VALUE, 0);
      AdmissionController controller = new AdmissionController(bucket, slice.rate());
      controllers.add(controller);
      simulation.scheduleQueueProcessing(controller);
    }
  }

  @Override
  public void handleRequest(int instance, boolean measured) {
    simulation.submit(controllers.get(instance), 0, measured, () -> {});
  }
}

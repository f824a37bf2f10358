package org.corianderweir.bench.limits;

import org.corianderweir.logic.limits.AdmissionController;
import org.corianderweir.logic.limits.Allowance;
import org.corianderweir.logic.limits.SliceBucket;

/**
 * The ideal to compare with: one token bucket for the whole fleet that every instance reaches
 * without latency. While a zone is cut off, each side has its own bucket with its share of the
 * limit.
 */
final class GlobalBucketRateLimiter implements RateLimiter {
  private final RateLimitSimulation simulation;
  private final AdmissionController fleetController;
  private final AdmissionController partitionedController;
  private final AdmissionController remainingController;

  GlobalBucketRateLimiter(RateLimitSimulation simulation) {
    this.simulation = simulation;
    fleetController = createController(1);
    partitionedController = createController(1.0 / SimulatedFleet.ZONE_COUNT);
    remainingController =
        createController((SimulatedFleet.ZONE_COUNT - 1.0) / SimulatedFleet.ZONE_COUNT);
  }

  @Override
  public void handleRequest(int instance, boolean measured) {
    boolean partitioned =
        !simulation
            .pattern()
            .isConnected(
                DemandPattern.PARTITIONED_ZONE,
                DemandPattern.PARTITIONED_ZONE + 1,
                simulation.scheduler().nowNanoseconds());
    AdmissionController sideController =
        SimulatedFleet.zoneOf(instance) == DemandPattern.PARTITIONED_ZONE
            ? partitionedController
            : remainingController;
    simulation.submit(partitioned ? sideController : fleetController, 0, measured, () -> {});
  }

  private AdmissionController createController(double share) {
    Allowance limit = simulation.limit();
    SliceBucket bucket = new SliceBucket(0);
    bucket.setOwnAllowance(new Allowance(limit.rate() * share, limit.capacity() * share), 0);
    bucket.renewOwnAllowance(Long.MAX_VALUE, 0);
    AdmissionController controller = new AdmissionController(bucket, limit.rate() * share);
    simulation.scheduleQueueProcessing(controller);
    return controller;
  }
}

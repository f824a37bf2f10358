package org.corianderweir.daemon.traffic;

import java.util.Optional;
import org.corianderweir.daemon.steering.CapacityPermit;
import org.corianderweir.logic.steering.Cell;

/** Admits requests within the concurrency of regions and selectors and the capacity of links. */
interface CapacityAdmission {
  /**
   * Acquires a permit for a request; empty if one of the limits is reached at present.
   *
   * @param selector name of the selector that covers the request
   * @param requestBytes size of the request body
   * @param deadlineNanoseconds monotonic time at which the request ends at the latest
   * @param nowNanoseconds present monotonic time
   */
  Optional<CapacityPermit> tryAcquire(
      Cell cell, String selector, long requestBytes, long deadlineNanoseconds, long nowNanoseconds);
}

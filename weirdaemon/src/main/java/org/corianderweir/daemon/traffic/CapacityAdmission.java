package org.corianderweir.daemon.traffic;

import java.util.Optional;
import org.corianderweir.daemon.steering.CapacityPermit;
import org.corianderweir.logic.steering.Cell;

/** Gives room for requests in regions and on links. */
interface CapacityAdmission {
  /**
   * Takes room for a request, or nothing if there is none at present.
   *
   * @param selector name of the selector that covers the request
   * @param requestBytes bytes of the request
   * @param deadlineNanoseconds monotonic time by which the request has ended
   * @param nowNanoseconds present monotonic time
   */
  Optional<CapacityPermit> tryAcquire(
      Cell cell, String selector, long requestBytes, long deadlineNanoseconds, long nowNanoseconds);
}

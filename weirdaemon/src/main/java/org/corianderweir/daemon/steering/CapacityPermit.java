package org.corianderweir.daemon.steering;

/** Permit for one request under the limits of its region, selector and links. Release it once. */
public interface CapacityPermit {
  /**
   * Releases the permit.
   *
   * @param responseBytes size of the response body; zero if there was no response
   */
  void release(long responseBytes);
}

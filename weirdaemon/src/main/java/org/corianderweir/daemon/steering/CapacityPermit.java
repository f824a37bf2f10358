package org.corianderweir.daemon.steering;

/** Room for one request in its region and on its links; must be released once. */
public interface CapacityPermit {
  /**
   * Gives the room back.
   *
   * @param responseBytes bytes that the answer had; zero if there was none
   */
  void release(long responseBytes);
}

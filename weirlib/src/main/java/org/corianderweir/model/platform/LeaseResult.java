package org.corianderweir.model.platform;

/** The answer to a request for a lease. */
public sealed interface LeaseResult {
  /**
   * The caller holds the lease.
   *
   * @param fencingToken number that grows each time the lease gets another holder and stays the
   *     same at renewals
   */
  record Granted(long fencingToken) implements LeaseResult {}

  /**
   * Another holder has the lease.
   *
   * @param holder name of the holder
   */
  record HeldByOther(String holder) implements LeaseResult {}
}

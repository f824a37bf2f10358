package org.corianderweir.model.platform;

/** The answer to a request for a lease. */
public sealed interface LeaseResult {
  /**
   * The lease is held.
   *
   * @param fencingToken grows each time the lease changes hands; renewals keep it
   */
  record Granted(long fencingToken) implements LeaseResult {}

  /**
   * Somebody else holds the lease.
   *
   * @param holder who holds it
   */
  record HeldByOther(String holder) implements LeaseResult {}
}

package org.corianderweir.bench.backend;

/**
 * Switches that set how a stand-in backend server behaves. Without faults they are {@link #NORMAL}.
 *
 * @param fault fault that the server shows
 * @param slowFactor factor of the service time
 * @param draining whether the server reports that it is draining
 * @param reportLagMilliseconds age of the load that the server reports
 * @param reportsIdle whether the server always reports that it is ready and idle
 */
public record ServerSwitches(
    Fault fault,
    double slowFactor,
    boolean draining,
    long reportLagMilliseconds,
    boolean reportsIdle) {
  /** The server has no fault, is not draining, and reports its current load. */
  public static final ServerSwitches NORMAL = new ServerSwitches(Fault.NONE, 1, false, 0, false);

  /** A fault that a server shows. */
  public enum Fault {
    /** The server works normally. */
    NONE,
    /** The server refuses all new requests without running them. */
    SHEDS_ALL,
    /** The server answers immediately with an internal error, without running the request. */
    FAILS_FAST,
    /** The server runs requests and never answers. */
    FROZEN,
    /** The server runs requests and answers long after their deadline. */
    LATE,
    /** The server runs requests and answers with a body larger than every body limit. */
    OVERSIZED
  }

  /** Returns these switches with another fault. */
  public ServerSwitches withFault(Fault changed) {
    return new ServerSwitches(changed, slowFactor, draining, reportLagMilliseconds, reportsIdle);
  }

  /** Returns these switches with another factor of the service time. */
  public ServerSwitches withSlowFactor(double changed) {
    return new ServerSwitches(fault, changed, draining, reportLagMilliseconds, reportsIdle);
  }
}

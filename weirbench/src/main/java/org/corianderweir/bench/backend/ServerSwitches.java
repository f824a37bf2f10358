package org.corianderweir.bench.backend;

/**
 * How a stand-in backend server behaves; the neutral value is {@link #NORMAL}.
 *
 * @param fault what is wrong with it
 * @param slowFactor service times are multiplied by this
 * @param draining whether the server says that it is draining
 * @param reportLagMilliseconds age of the load that the server reports
 * @param reportsIdle whether the server always reports that it is ready and idle
 */
public record ServerSwitches(
    Fault fault,
    double slowFactor,
    boolean draining,
    long reportLagMilliseconds,
    boolean reportsIdle) {
  /** Nothing is wrong. */
  public static final ServerSwitches NORMAL = new ServerSwitches(Fault.NONE, 1, false, 0, false);

  /** What is wrong with a server. */
  public enum Fault {
    /** Nothing. */
    NONE,
    /** It refuses all new requests before it runs them. */
    SHEDS_ALL,
    /** It answers at once with an internal error, without running the request. */
    FAILS_FAST,
    /** It runs requests and never answers. */
    FROZEN,
    /** It runs requests and answers long after their deadline. */
    LATE,
    /** It runs requests and answers with a body above every limit. */
    OVERSIZED
  }

  /** Returns the same switches with another fault. */
  public ServerSwitches withFault(Fault changed) {
    return new ServerSwitches(changed, slowFactor, draining, reportLagMilliseconds, reportsIdle);
  }

  /** Returns the same switches with another factor for service times. */
  public ServerSwitches withSlowFactor(double changed) {
    return new ServerSwitches(fault, changed, draining, reportLagMilliseconds, reportsIdle);
  }
}

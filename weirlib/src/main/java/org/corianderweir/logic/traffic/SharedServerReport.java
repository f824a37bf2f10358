package org.corianderweir.logic.traffic;

import java.time.Duration;

/**
 * What a server reported to an instance, as the instance passes it on inside its zone.
 *
 * @param server identifier of the server
 * @param startedMilliseconds wall-clock time of the server's start, as in its registration; a
 *     report of another start does not count
 * @param load load of the server, without the answered request
 * @param ageMilliseconds age of the report when it is sent; the clocks of two instances are not
 *     compared
 */
public record SharedServerReport(
    String server, long startedMilliseconds, ServerLoad load, int ageMilliseconds) {
  /**
   * Largest number of reports in a message, which bounds what one instance sends to and receives
   * from its collector at about 8 KB/s. The newest ones are sent.
   */
  public static final int MESSAGE_LIMIT = 64;

  /** Age at which a report has no weight any more. */
  public static final Duration LIFETIME = ServerState.REPORT_LIFETIME;

  /** The same limit as for the identifier of a registration. */
  private static final int LONGEST_IDENTIFIER = 200;

  /** Refuses reports that no instance sends. */
  public SharedServerReport {
    if (server.isEmpty() || server.length() > LONGEST_IDENTIFIER) {
      throw new IllegalArgumentException("identifier of a server out of range");
    }
    if (ageMilliseconds < 0 || ageMilliseconds > LIFETIME.toMillis()) {
      throw new IllegalArgumentException("age of a report out of range");
    }
  }

  /** Returns whether a report that was heard at a time still has weight. */
  static boolean isCurrent(long heardNanoseconds, long nowNanoseconds) {
    return nowNanoseconds - heardNanoseconds < LIFETIME.toNanos();
  }

  /** Creates the report that was heard at a time. It must be current. */
  static SharedServerReport of(
      String server,
      long startedMilliseconds,
      ServerLoad load,
      long heardNanoseconds,
      long nowNanoseconds) {
    long age = Duration.ofNanos(Math.max(0, nowNanoseconds - heardNanoseconds)).toMillis();
    return new SharedServerReport(server, startedMilliseconds, load, (int) age);
  }

  /** Returns the time at which the report was heard, if its age counts from the given time. */
  long heardNanoseconds(long sinceNanoseconds) {
    return sinceNanoseconds - Duration.ofMillis(ageMilliseconds).toNanos();
  }
}

package org.corianderweir.http;

import java.time.Duration;

/**
 * How a listener stops.
 *
 * @param quietTime time without a request after which a connection is closed
 * @param grace time for which requests in progress are waited for
 * @param endRequests called after the grace if requests are in progress; gives them their final
 *     answers, so that the answers behind them on their connections can be sent
 * @param sendTime time after the grace in which final answers are sent; with zero, all connections
 *     are closed as they are
 */
public record ListenerStop(
    Duration quietTime, Duration grace, Runnable endRequests, Duration sendTime) {

  /** Returns a stop that cuts off what is in progress after the grace. */
  static ListenerStop cuttingOff(Duration quietTime, Duration grace) {
    return new ListenerStop(quietTime, grace, () -> {}, Duration.ZERO);
  }
}

package org.corianderweir.http;

import java.io.IOException;
import java.time.Duration;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Detects that a caller disconnects while its request is being handled. Grizzly stops reading
 * during that time and would notice the end of the connection only after the response. Bytes that
 * arrive meanwhile are dropped and the connection is closed after the response, so that responses
 * can't be confused. Clients that pipeline requests have to expect this (RFC 9112, section 9.3.2).
 */
final class DisconnectDetectionFilter extends BaseFilter {
  private static final Attribute<CallerExchange> EXCHANGE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("corianderweir.http.callerExchange");

  /** Monotonic time of the latest read, which completed the request if it is being handled. */
  private static final Attribute<Long> READ_AT =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("corianderweir.http.readAt");

  /** Begins the handling of a request that was read completely. */
  static CallerExchange beginHandling(Connection<?> connection, long nowNanoseconds) {
    Long readNanoseconds = READ_AT.get(connection);
    Duration queueTime =
        readNanoseconds == null
            ? Duration.ZERO
            : Duration.ofNanos(nowNanoseconds - readNanoseconds);
    CallerExchange exchange = new CallerExchange(connection, queueTime);
    EXCHANGE.set(connection, exchange);
    return exchange;
  }

  /** Starts watching the connection of a request whose response is not complete yet. */
  static void startWatching(Connection<?> connection) {
    try {
      connection.enableIOEvent(IOEvent.READ);
    } catch (IOException closed) {
      connection.closeSilently();
    }
  }

  /** Stops reading from a watched connection before the response is written. */
  static void stopWatching(Connection<?> connection) {
    try {
      connection.disableIOEvent(IOEvent.READ);
    } catch (IOException closed) {
      connection.closeSilently();
    }
  }

  /** Ends the exchange on a connection after the response was written. */
  static void endExchange(Connection<?> connection) {
    EXCHANGE.remove(connection);
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    CallerExchange exchange = EXCHANGE.get(connection);
    if (exchange == null) {
      READ_AT.set(connection, System.nanoTime());
      return context.getInvokeAction();
    }
    Buffer dropped = context.getMessage();
    dropped.tryDispose();
    if (!exchange.onSurplusBytes()) {
      connection.closeSilently();
    }
    return context.getStopAction();
  }
}

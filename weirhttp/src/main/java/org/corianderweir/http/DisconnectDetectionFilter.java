package org.corianderweir.http;

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
  private static final Attribute<ExchangeState> EXCHANGE_STATE =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("corianderweir.http.watch");

  private enum ExchangeState {
    PROCESSING,
    PROCESSING_THEN_CLOSE,
    WRITING
  }

  /** Starts watching the connection of a request that was read completely. */
  static void startWatching(Connection<?> connection) {
    EXCHANGE_STATE.set(connection, ExchangeState.PROCESSING);
    try {
      connection.enableIOEvent(IOEvent.READ);
    } catch (java.io.IOException closed) {
      connection.closeSilently();
    }
  }

  /** Stops reading before the response is written; returns whether the connection may be kept. */
  static boolean beginWrite(Connection<?> connection) {
    try {
      connection.disableIOEvent(IOEvent.READ);
    } catch (java.io.IOException closed) {
      connection.closeSilently();
    }
    ExchangeState before = EXCHANGE_STATE.get(connection);
    EXCHANGE_STATE.set(connection, ExchangeState.WRITING);
    return before != ExchangeState.PROCESSING_THEN_CLOSE;
  }

  /** Stops watching a connection after the response was written. */
  static void stopWatching(Connection<?> connection) {
    EXCHANGE_STATE.remove(connection);
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    Connection<?> connection = context.getConnection();
    ExchangeState state = EXCHANGE_STATE.get(connection);
    if (state == null) {
      return context.getInvokeAction();
    }
    Buffer dropped = context.getMessage();
    dropped.tryDispose();
    if (state == ExchangeState.WRITING) {
      connection.closeSilently();
    } else {
      EXCHANGE_STATE.set(connection, ExchangeState.PROCESSING_THEN_CLOSE);
    }
    return context.getStopAction();
  }
}

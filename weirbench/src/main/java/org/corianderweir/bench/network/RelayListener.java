package org.corianderweir.bench.network;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.corianderweir.http.HttpAddress;
import org.jspecify.annotations.Nullable;

/**
 * Listens in place of a server. While the server is unreachable, the listener is closed, so that
 * connections are refused as they would be without the relay.
 */
final class RelayListener implements RelayedConnection.Listener {
  private static final int ACCEPT_BACKLOG = 1024;
  private static final long PROBE_INTERVAL_MILLISECONDS = 50;

  private final RelayEventLoop eventLoop;
  private final RelayTarget target;
  private final NetworkConditions conditions;
  private final Function<String, String> zoneOfHost;
  private final Set<RelayedConnection> connections = new HashSet<>();
  private @Nullable ServerSocketChannel channel;
  private long nextAcceptNanoseconds;
  private long responseLimitBytes = Long.MAX_VALUE;
  private boolean probing;

  RelayListener(
      RelayEventLoop eventLoop,
      RelayTarget target,
      NetworkConditions conditions,
      Function<String, String> zoneOfHost) {
    this.eventLoop = eventLoop;
    this.target = target;
    this.conditions = conditions;
    this.zoneOfHost = zoneOfHost;
  }

  HttpAddress address() {
    return target.listen();
  }

  /** Closes all connections; later ones are closed after the given number of response bytes. */
  void truncateResponses(long limitBytes) {
    responseLimitBytes = limitBytes;
    new HashSet<>(connections).forEach(RelayedConnection::close);
  }

  void listen() {
    try {
      ServerSocketChannel opened = ServerSocketChannel.open();
      opened.configureBlocking(false);
      opened.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      opened.bind(
          new InetSocketAddress(target.listen().host(), target.listen().port()), ACCEPT_BACKLOG);
      RelayEventLoop.ReadyHandler handler = key -> accept(opened);
      opened.register(eventLoop.selector(), SelectionKey.OP_ACCEPT, handler);
      channel = opened;
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private void accept(ServerSocketChannel opened) throws IOException {
    SocketChannel client = opened.accept();
    if (client == null) {
      return;
    }
    client.configureBlocking(false);
    client.setOption(StandardSocketOptions.TCP_NODELAY, true);
    if (connections.size() >= target.connectionLimit()) {
      client.close();
      return;
    }
    String host = ((InetSocketAddress) client.getRemoteAddress()).getAddress().getHostAddress();
    String zone = zoneOfHost.apply(host);
    RelayedConnection connection =
        new RelayedConnection(
            eventLoop, client, target, zone, conditions, responseLimitBytes, this);
    connections.add(connection);
    eventLoop.scheduleAt(connectNanoseconds(zone), connection::open);
  }

  /**
   * Returns the monotonic time at which to connect to the server. A handshake takes a round trip,
   * and the server sets up one connection after the other.
   */
  private long connectNanoseconds(String sourceZone) {
    NetworkConditions.Direction requestDirection =
        new NetworkConditions.Direction(sourceZone, target.zone());
    long roundTripNanoseconds = 2 * conditions.state(requestDirection).delayNanoseconds();
    long beginNanoseconds = Math.max(nextAcceptNanoseconds, System.nanoTime());
    nextAcceptNanoseconds = beginNanoseconds + target.connectionSetupNanoseconds();
    return nextAcceptNanoseconds + roundTripNanoseconds;
  }

  @Override
  public void onServerUnreachable() {
    if (probing) {
      return;
    }
    probing = true;
    Optional.ofNullable(channel).ifPresent(RelayListener::closeSocket);
    eventLoop.scheduleAfter(PROBE_INTERVAL_MILLISECONDS, this::probe);
  }

  @Override
  public void onClosed(RelayedConnection connection) {
    connections.remove(connection);
  }

  private void probe() {
    try (SocketChannel attempt = SocketChannel.open()) {
      attempt.connect(new InetSocketAddress(target.server().host(), target.server().port()));
      probing = false;
      listen();
    } catch (IOException stillUnreachable) {
      eventLoop.scheduleAfter(PROBE_INTERVAL_MILLISECONDS, this::probe);
    }
  }

  private static void closeSocket(ServerSocketChannel channel) {
    try {
      channel.close();
    } catch (IOException ignored) {
      // The socket is no longer used.
    }
  }
}

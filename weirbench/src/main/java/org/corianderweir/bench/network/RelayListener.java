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
 * Listens in a server's place. While the server can't be reached the relay does not listen, so that
 * connections are refused as they would be without it.
 */
final class RelayListener implements RelayedConnection.Listener {
  private static final int BACKLOG = 1024;
  private static final long PROBE_MILLISECONDS = 50;

  private final RelayLoop loop;
  private final RelayTarget target;
  private final NetworkRules rules;
  private final Function<String, String> zoneOfHost;
  private final Set<RelayedConnection> connections = new HashSet<>();
  private @Nullable ServerSocketChannel channel;
  private long acceptFreeNanoseconds;
  private long answerBytesLimit = Long.MAX_VALUE;
  private boolean probing;

  RelayListener(
      RelayLoop loop, RelayTarget target, NetworkRules rules, Function<String, String> zoneOfHost) {
    this.loop = loop;
    this.target = target;
    this.rules = rules;
    this.zoneOfHost = zoneOfHost;
  }

  HttpAddress address() {
    return target.listen();
  }

  /** Cuts every later connection's answers after some bytes. */
  void limitAnswers(long bytes) {
    answerBytesLimit = bytes;
    new HashSet<>(connections).forEach(RelayedConnection::close);
  }

  void listen() {
    try {
      ServerSocketChannel opened = ServerSocketChannel.open();
      opened.configureBlocking(false);
      opened.setOption(StandardSocketOptions.SO_REUSEADDR, true);
      opened.bind(new InetSocketAddress(target.listen().host(), target.listen().port()), BACKLOG);
      RelayLoop.ReadyHandler handler = key -> accept(opened);
      opened.register(loop.selector(), SelectionKey.OP_ACCEPT, handler);
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
        new RelayedConnection(loop, client, target, zone, rules, answerBytesLimit, this);
    connections.add(connection);
    loop.at(openTime(zone), connection::open);
  }

  /** A handshake takes a round trip, and the server opens one connection after the other. */
  private long openTime(String sourceZone) {
    NetworkRules.Direction there = new NetworkRules.Direction(sourceZone, target.zone());
    long roundTrip = 2 * rules.state(there).delayNanoseconds();
    long begin = Math.max(acceptFreeNanoseconds, System.nanoTime());
    acceptFreeNanoseconds = begin + target.connectionCostNanoseconds();
    return acceptFreeNanoseconds + roundTrip;
  }

  @Override
  public void unreachable() {
    if (probing) {
      return;
    }
    probing = true;
    Optional.ofNullable(channel).ifPresent(RelayListener::closeSocket);
    loop.after(PROBE_MILLISECONDS, this::probe);
  }

  @Override
  public void closed(RelayedConnection connection) {
    connections.remove(connection);
  }

  private void probe() {
    try (SocketChannel attempt = SocketChannel.open()) {
      attempt.connect(new InetSocketAddress(target.server().host(), target.server().port()));
      probing = false;
      listen();
    } catch (IOException stillGone) {
      loop.after(PROBE_MILLISECONDS, this::probe);
    }
  }

  private static void closeSocket(ServerSocketChannel channel) {
    try {
      channel.close();
    } catch (IOException alreadyGone) {
      // Nothing is left to close.
    }
  }
}

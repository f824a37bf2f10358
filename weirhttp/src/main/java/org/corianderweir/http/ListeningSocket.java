package org.corianderweir.http;

import java.io.IOException;
import java.nio.channels.SelectableChannel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.ConnectionProbe;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.RegisterChannelResult;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;

/**
 * The listening socket of a server. The kernel resets the connections in the queue of a listening
 * socket when it is closed, although their callers may have sent requests. Therefore a close
 * accepts all of them first.
 *
 * <p>A channel that is registered with a selector stays open after its close until the selector
 * runs again, and collects connections that nobody accepts. Therefore the channel is deregistered
 * before the queue is emptied. Connections that arrive between the last accept and the close are
 * reset; Java offers no way to end listening without closing the socket.
 */
final class ListeningSocket {
  private static final long POLL_INTERVAL_MILLISECONDS = 1;

  private final TCPNIOServerConnection socket;
  private final NIOTransport transport;
  private final SelectableChannel channel;
  private final AtomicLong acceptedCount = new AtomicLong();

  /**
   * Creates the object for a bound socket.
   *
   * @param transport transport that has bound the socket and serves its connections
   */
  ListeningSocket(TCPNIOServerConnection socket, NIOTransport transport) {
    this.socket = socket;
    this.transport = transport;
    channel = socket.getChannel();
    socket
        .getMonitoringConfig()
        .addProbes(
            new ConnectionProbe.Adapter() {
              @Override
              public void onAcceptEvent(Connection server, Connection accepted) {
                acceptedCount.incrementAndGet();
              }
            });
  }

  /**
   * Closes the socket and passes the connections in its queue on to the selector thread, which
   * registers them before it runs later tasks.
   *
   * @param limit time after which the socket is closed in any case
   * @throws IOException if the socket can't be closed, or a connection can't be accepted; the
   *     socket is closed then
   */
  void close(Duration limit) throws IOException, InterruptedException {
    if (!channel.isOpen()) {
      return;
    }
    long deadlineNanoseconds = System.nanoTime() + limit.toNanos();
    deregister(deadlineNanoseconds);
    try {
      acceptAll(deadlineNanoseconds);
    } finally {
      channel.close();
    }
  }

  private void deregister(long deadlineNanoseconds) throws InterruptedException {
    transport
        .getSelectorHandler()
        .deregisterChannelAsync(
            socket.getSelectorRunner(),
            channel,
            new EmptyCompletionHandler<RegisterChannelResult>());
    while (channel.isRegistered() && System.nanoTime() - deadlineNanoseconds < 0) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLISECONDS);
    }
  }

  /** Accepts connections until the queue of the kernel is empty or the time has passed. */
  private void acceptAll(long deadlineNanoseconds) throws IOException {
    long before;
    do {
      before = acceptedCount.get();
      socket.onAccept();
    } while (acceptedCount.get() != before && System.nanoTime() - deadlineNanoseconds < 0);
  }
}

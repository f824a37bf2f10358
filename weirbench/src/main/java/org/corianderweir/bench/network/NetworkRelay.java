package org.corianderweir.bench.network;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.corianderweir.http.HttpAddress;

/**
 * The simulated network of the test bench: a relay in front of every entry instance port, backend
 * server and the platform.
 *
 * <p>The source address of a connection identifies the zone that it comes from. So one relay per
 * server is enough to delay or block each direction between two zones separately.
 */
public final class NetworkRelay implements AutoCloseable {
  private final RelayEventLoop eventLoop = new RelayEventLoop();
  private final NetworkConditions conditions;
  private final Function<String, String> zoneOfHost;
  private final List<RelayListener> listeners = new ArrayList<>();

  /**
   * Creates a network without relays.
   *
   * @param conditions delays and blocks of the links, which may change at any time
   * @param zoneOfHost returns the name of the zone of an IP address
   */
  public NetworkRelay(NetworkConditions conditions, Function<String, String> zoneOfHost) {
    this.conditions = conditions;
    this.zoneOfHost = zoneOfHost;
  }

  /** Starts the thread of the relays. */
  public void start() {
    eventLoop.start();
  }

  /** Adds a relay in front of a server; it accepts connections when this method returns. */
  public void add(RelayTarget target) {
    RelayListener listener = new RelayListener(eventLoop, target, conditions, zoneOfHost);
    listeners.add(listener);
    runOnEventLoop(listener::listen);
  }

  /**
   * Closes the present connections of a server, and later ones as soon as they have forwarded the
   * given number of response bytes. {@link Long#MAX_VALUE} means no limit.
   */
  public void truncateResponses(HttpAddress listenAddress, long limitBytes) {
    for (RelayListener listener : listeners) {
      if (listener.address().equals(listenAddress)) {
        runOnEventLoop(() -> listener.truncateResponses(limitBytes));
      }
    }
  }

  private void runOnEventLoop(Runnable task) {
    CompletableFuture<Boolean> completion = new CompletableFuture<>();
    eventLoop.execute(
        () -> {
          try {
            task.run();
            completion.complete(Boolean.TRUE);
          } catch (RuntimeException failure) {
            completion.completeExceptionally(failure);
          }
        });
    completion.join();
  }

  @Override
  public void close() {
    eventLoop.close();
  }
}

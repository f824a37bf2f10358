package org.corianderweir.bench.network;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.corianderweir.http.HttpAddress;

/**
 * The network of the bench: a relay before every peer port, backend server and the platform. The
 * source address of a connection tells the zone that it comes from, so that one relay per server
 * can delay, hold or cut each direction between two zones.
 */
public final class NetworkRelay implements AutoCloseable {
  private final RelayEventLoop eventLoop = new RelayEventLoop();
  private final NetworkConditions conditions;
  private final Function<String, String> zoneOfHost;
  private final List<RelayListener> listeners = new ArrayList<>();

  /**
   * Creates a network without servers.
   *
   * @param conditions the state of the links, which may change at any time
   * @param zoneOfHost names the zone of an IP address
   */
  public NetworkRelay(NetworkConditions conditions, Function<String, String> zoneOfHost) {
    this.conditions = conditions;
    this.zoneOfHost = zoneOfHost;
  }

  /** Starts the relay's thread. */
  public void start() {
    eventLoop.start();
  }

  /** Listens in a server's place; returns when connections are accepted. */
  public void add(RelayTarget target) {
    RelayListener listener = new RelayListener(eventLoop, target, conditions, zoneOfHost);
    listeners.add(listener);
    runOnEventLoop(listener::listen);
  }

  /** Aborts every answer of a server after some bytes; {@code Long.MAX_VALUE} ends that. */
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

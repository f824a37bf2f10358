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
  private final RelayLoop loop = new RelayLoop();
  private final NetworkRules rules;
  private final Function<String, String> zoneOfHost;
  private final List<RelayListener> listeners = new ArrayList<>();

  /**
   * Creates a network without servers.
   *
   * @param rules the state of the links, which may change at any time
   * @param zoneOfHost names the zone of an IP address
   */
  public NetworkRelay(NetworkRules rules, Function<String, String> zoneOfHost) {
    this.rules = rules;
    this.zoneOfHost = zoneOfHost;
  }

  /** Starts the relay's thread. */
  public void start() {
    loop.start();
  }

  /** Listens in a server's place; returns when connections are accepted. */
  public void add(RelayTarget target) {
    RelayListener listener = new RelayListener(loop, target, rules, zoneOfHost);
    listeners.add(listener);
    onLoop(listener::listen);
  }

  /** Aborts every answer of a server after some bytes; {@code Long.MAX_VALUE} ends that. */
  public void limitAnswers(HttpAddress listen, long bytes) {
    for (RelayListener listener : listeners) {
      if (listener.address().equals(listen)) {
        onLoop(() -> listener.limitAnswers(bytes));
      }
    }
  }

  private void onLoop(Runnable task) {
    CompletableFuture<Boolean> done = new CompletableFuture<>();
    loop.execute(
        () -> {
          try {
            task.run();
            done.complete(Boolean.TRUE);
          } catch (RuntimeException failure) {
            done.completeExceptionally(failure);
          }
        });
    done.join();
  }

  @Override
  public void close() {
    loop.close();
  }
}

package org.corianderweir.bench.clients;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.corianderweir.bench.clients.UncontrolledCrowd.Target;
import org.corianderweir.http.HttpAddress;

/**
 * Runs the clients of a crowd against the interfaces of an entry instance. A client whose
 * connection is closed while it sends comes again on a new one. None of them reads a response.
 * Closing it closes all connections.
 */
public final class UncontrolledClients implements AutoCloseable {
  /** More than the connections that the instance accepts with the descriptors of the test. */
  private static final int CLIENTS_PER_TARGET = 600;

  private static final Duration SENDING_TIME = Duration.ofSeconds(6);
  private static final int CONNECT_TIMEOUT_MILLISECONDS = 2_000;
  private static final int RECEIVE_BUFFER_BYTES = 4 * 1024;
  private static final long PAUSE_MILLISECONDS = 200;

  private final UncontrolledCrowd crowd;
  private final HttpAddress callers;
  private final List<Target> targets;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean sending = true;

  /** Creates the clients without letting them connect. */
  public UncontrolledClients(UncontrolledCrowd crowd, HttpAddress callers, List<Target> targets) {
    this.crowd = crowd;
    this.callers = callers;
    this.targets = targets;
  }

  /** Lets all clients send for a time; afterwards they only keep their connections open. */
  public void run() throws InterruptedException {
    for (int client = 0; client < CLIENTS_PER_TARGET; client++) {
      for (Target target : targets) {
        int number = client;
        threads.add(Thread.ofVirtual().start(() -> runClient(target, number)));
      }
    }
    TimeUnit.MILLISECONDS.sleep(SENDING_TIME.toMillis());
    sending = false;
  }

  private void runClient(Target target, int number) {
    try {
      while (sending) {
        Socket socket = new Socket();
        sockets.add(socket);
        try {
          socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
          socket.setTcpNoDelay(true);
          InetSocketAddress address = new InetSocketAddress(callers.host(), target.port(callers));
          socket.connect(address, CONNECT_TIMEOUT_MILLISECONDS);
          crowd.send(socket, target, number);
          return;
        } catch (IOException refusedOrClosed) {
          closeQuietly(socket);
          sockets.remove(socket);
          TimeUnit.MILLISECONDS.sleep(PAUSE_MILLISECONDS);
        }
      }
    } catch (InterruptedException stopped) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() throws InterruptedException {
    sending = false;
    threads.forEach(Thread::interrupt);
    sockets.forEach(UncontrolledClients::closeQuietly);
    for (Thread thread : threads) {
      thread.join();
    }
  }

  private static void closeQuietly(Socket socket) {
    try {
      socket.close();
    } catch (IOException closed) {
      // The connection is closed in any case.
    }
  }
}

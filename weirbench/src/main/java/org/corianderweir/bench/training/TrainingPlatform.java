package org.corianderweir.bench.training;

import java.util.ArrayList;
import java.util.List;
import org.corianderweir.bench.metadata.MetadataStoreStandIn;
import org.corianderweir.bench.metadata.ServerStandIn;
import org.corianderweir.bench.metadata.StoreValues;

/**
 * A metadata store with a configuration and backend servers that answer at once. An entry instance
 * that is connected to it serves requests, so that a recording of its classes contains all that
 * serving needs.
 */
public final class TrainingPlatform implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final String ZONE = "north-a";
  private static final int SERVER_COUNT = 2;
  private static final double REQUESTS_PER_SECOND = 10_000;

  private final MetadataStoreStandIn store;
  private final List<ServerStandIn> servers = new ArrayList<>();

  /**
   * Creates a platform that does not listen yet.
   *
   * @param storePort TCP port of the store; zero lets the system choose one
   */
  public TrainingPlatform(int storePort) {
    store = new MetadataStoreStandIn(HOST, storePort);
  }

  /** Starts the servers and the store. */
  public void start() {
    store.put("op/config", StoreValues.configuration(1, REQUESTS_PER_SECOND));
    for (int number = 0; number < SERVER_COUNT; number++) {
      ServerStandIn server = new ServerStandIn("server-" + number, HOST, 0);
      server.start();
      servers.add(server);
      store.put(
          "servers/server-" + number,
          StoreValues.server(HOST + ":" + server.port(), ZONE, "ready"));
    }
    store.start();
  }

  /** Returns the port on which the store listens. */
  public int storePort() {
    return store.port();
  }

  /** Returns the number of requests that the servers have run. */
  public int executedRequestCount() {
    return servers.stream().mapToInt(server -> server.executedRequests().size()).sum();
  }

  @Override
  public void close() {
    store.stop();
    servers.forEach(ServerStandIn::stop);
  }
}

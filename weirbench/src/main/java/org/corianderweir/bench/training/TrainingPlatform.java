package org.corianderweir.bench.training;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.corianderweir.bench.metadata.MetadataStoreStandIn;
import org.corianderweir.bench.metadata.ServerStandIn;
import org.corianderweir.bench.metadata.StoreValues;

/**
 * A metadata store with a configuration and backend servers that answer at once. An entry instance
 * that is connected to it serves requests, so that a recording of its classes contains all that
 * serving needs. The platform of a recording also changes, so that it contains what changes need.
 */
public final class TrainingPlatform implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  private static final String ZONE = "north-a";
  private static final int SERVER_COUNT = 2;
  private static final double REQUESTS_PER_SECOND = 10_000;

  private static final Duration CHANGE_INTERVAL = Duration.ofMillis(400);

  private static final int LIMIT_PER_SECOND = 1_000;

  private static final List<ServerStandIn.Fault> FAULTS =
      List.of(
          ServerStandIn.Fault.NONE,
          ServerStandIn.Fault.FULL,
          ServerStandIn.Fault.FAILS,
          ServerStandIn.Fault.UNSIGNED,
          ServerStandIn.Fault.NONE,
          ServerStandIn.Fault.PAUSES);

  private final MetadataStoreStandIn store;
  private final List<ServerStandIn> servers = new ArrayList<>();
  private final int serverCount;
  private long version = 1;

  /**
   * Creates a platform that does not listen yet.
   *
   * @param storePort TCP port of the store; zero lets the system choose one
   */
  public TrainingPlatform(int storePort) {
    this(storePort, SERVER_COUNT);
  }

  /** Creates a platform with a number of servers that does not listen yet. */
  public TrainingPlatform(int storePort, int serverCount) {
    this.serverCount = serverCount;
    store = new MetadataStoreStandIn(HOST, storePort);
  }

  /** Starts the servers and the store. */
  public void start() {
    store.put("op/config", configuration());
    for (int number = 0; number < serverCount; number++) {
      ServerStandIn server = new ServerStandIn("server-" + number, HOST, 0);
      server.start();
      servers.add(server);
      store.put(
          "servers/server-" + number,
          StoreValues.server(HOST + ":" + server.port(), ZONE, "ready"));
    }
    store.start();
  }

  /** Changes the configuration and the faults of a server until the thread is interrupted. */
  public void changeRepeatedly() throws InterruptedException {
    while (true) {
      Thread.sleep(CHANGE_INTERVAL);
      version++;
      store.put("op/config", configuration());
      servers.getFirst().setFault(FAULTS.get((int) (version % FAULTS.size())));
      servers.forEach(server -> server.setLoad("1,0,3," + (100 + version)));
    }
  }

  private String configuration() {
    return StoreValues.largeRequestConfiguration(version, REQUESTS_PER_SECOND, LIMIT_PER_SECOND);
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

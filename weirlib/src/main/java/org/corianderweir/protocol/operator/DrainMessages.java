package org.corianderweir.protocol.operator;

import java.util.List;

/** Messages about draining backend servers. */
public final class DrainMessages {
  private DrainMessages() {}

  /**
   * Request that identifies a backend server.
   *
   * @param server name of the server
   */
  public record ServerName(String server) {}

  /**
   * The backend servers that are being drained or are drained.
   *
   * @param servers the servers
   */
  public record Drains(List<DrainedServer> servers) {}

  /**
   * A backend server that receives no new requests.
   *
   * @param server name of the server
   * @param service service that the server runs
   * @param availabilityZone availability zone of the server
   * @param requestsInFlight number of requests from the answering entry instance that the server
   *     still runs
   * @param drainedAfterMilliseconds time from the start of the drain until the last request from
   *     the answering entry instance ended, in milliseconds; -1 while requests still run
   */
  public record DrainedServer(
      String server,
      String service,
      String availabilityZone,
      int requestsInFlight,
      long drainedAfterMilliseconds) {}
}

package org.corianderweir.protocol.operator;

import java.util.List;

/** Messages about the drain of backend servers. */
public final class DrainMessages {
  private DrainMessages() {}

  /**
   * Names a backend server.
   *
   * @param server name of the server
   */
  public record ServerName(String server) {}

  /**
   * The backend servers that are drained.
   *
   * @param servers the servers
   */
  public record Drains(List<DrainedServer> servers) {}

  /**
   * A backend server that gets no new requests.
   *
   * @param server name of the server
   * @param service service that it runs
   * @param availabilityZone its availability zone
   */
  public record DrainedServer(String server, String service, String availabilityZone) {}
}

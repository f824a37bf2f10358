package org.corianderweir.model.configuration;

import java.util.List;

/**
 * A backend server to which requests can be sent.
 *
 * @param name unique name
 * @param service service that it runs
 * @param availabilityZone name of its availability zone
 * @param host IP address
 * @param port TCP port
 * @param slots largest number of requests that it runs at the same time
 * @param connectionLimit largest number of connections that it accepts from all entry instances
 *     together
 * @param drained whether it is drained, so that it gets no new requests
 * @param labels labels that operators attached to the server
 */
public record BackendServer(
    String name,
    String service,
    String availabilityZone,
    String host,
    int port,
    int slots,
    int connectionLimit,
    boolean drained,
    List<Label> labels) {
  /** Copies the list. */
  public BackendServer {
    labels = List.copyOf(labels);
  }

  /** Returns this server with another drain state. */
  public BackendServer withDrained(boolean newDrained) {
    return new BackendServer(
        name, service, availabilityZone, host, port, slots, connectionLimit, newDrained, labels);
  }

  /** Returns this server with other labels. */
  public BackendServer withLabels(List<Label> newLabels) {
    return new BackendServer(
        name, service, availabilityZone, host, port, slots, connectionLimit, drained, newLabels);
  }
}

package org.corianderweir.daemon.settings;

import java.time.Duration;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.model.topology.EntryInstance;

/**
 * The checked settings of a daemon.
 *
 * @param instance this entry instance and its addresses
 * @param listenPorts ports that it listens on itself
 * @param platformAddress address of the platform's service
 * @param operatorCredential secret that operators show
 * @param peerSecret secret that entry instances prove to each other
 * @param lookupLifetime how long callers may cache a look-up answer
 * @param bodyLimitBytes largest body of a caller's request
 */
public record DaemonSettings(
    EntryInstance instance,
    ListenPorts listenPorts,
    HttpAddress platformAddress,
    String operatorCredential,
    String peerSecret,
    Duration lookupLifetime,
    int bodyLimitBytes) {

  /**
   * The ports that a process listens on, where something before it forwards the ones others know.
   *
   * @param callers TCP port for callers
   * @param peers TCP port for the other entry instances
   */
  public record ListenPorts(int callers, int peers) {}
}

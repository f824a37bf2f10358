package org.corianderweir.daemon.settings;

import java.time.Duration;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.model.topology.EntryInstance;

/**
 * The validated settings of a standalone daemon.
 *
 * @param instance this entry instance and its addresses
 * @param listenPorts ports that the process itself listens on
 * @param platformAddress address of the platform service
 * @param operatorCredential secret that operators send with each request
 * @param peerSecret secret that entry instances prove to each other
 * @param lookupLifetime time for which callers may cache the answer to a lookup
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
   * The ports that a process listens on. They differ from the advertised ports if these are
   * forwarded to the process.
   *
   * @param callers TCP port for callers
   * @param peers TCP port for the other entry instances
   */
  public record ListenPorts(int callers, int peers) {}
}

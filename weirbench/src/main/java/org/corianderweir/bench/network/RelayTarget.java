package org.corianderweir.bench.network;

import org.corianderweir.http.HttpAddress;

/**
 * A server behind a relay.
 *
 * @param listen address of the relay, which other processes connect to
 * @param server address that the server listens on
 * @param zone name of the server's availability zone, or of its location outside the zones
 * @param connectionLimit maximum number of simultaneous connections
 * @param connectionSetupNanoseconds time to set up a connection; they are set up one by one
 */
public record RelayTarget(
    HttpAddress listen,
    HttpAddress server,
    String zone,
    int connectionLimit,
    long connectionSetupNanoseconds) {

  /** Creates a target without a connection limit or setup time. */
  public static RelayTarget unlimited(HttpAddress listen, HttpAddress server, String zone) {
    return new RelayTarget(listen, server, zone, Integer.MAX_VALUE, 0);
  }
}

package org.corianderweir.bench.network;

import org.corianderweir.http.HttpAddress;

/**
 * A server behind a relay.
 *
 * @param listen address that the others are told
 * @param server address that the server listens on
 * @param zone name of the server's availability zone or place
 * @param connectionLimit connections that are accepted at the same time
 * @param connectionSetupNanoseconds time that each new connection takes, one after the other
 */
public record RelayTarget(
    HttpAddress listen,
    HttpAddress server,
    String zone,
    int connectionLimit,
    long connectionSetupNanoseconds) {

  /** Creates a target without a limit or cost of connections. */
  public static RelayTarget unlimited(HttpAddress listen, HttpAddress server, String zone) {
    return new RelayTarget(listen, server, zone, Integer.MAX_VALUE, 0);
  }
}

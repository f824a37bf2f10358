package org.corianderweir.http;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.attributes.Attribute;

/**
 * The requests of one connection that were answered with a failure. A faulty server may send such a
 * response once more in the place of a later one. If both requests have the same identifier, or
 * none, the copy can't be told from the real response, and a rejection would be believed of a
 * request that runs. Thread-safe.
 */
final class EarlierFailures {
  /** Identifiers that are remembered before the connection is given up. */
  static final int LIMIT = 16;

  private static final Attribute<EarlierFailures> FAILURES =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("corianderweir.http.failures");

  private final Set<String> identifiers = new HashSet<>();

  private EarlierFailures() {}

  /**
   * Records a failure.
   *
   * @param identifier identifier of the request that the response names
   * @return whether the connection may carry further requests
   */
  static boolean record(Connection<?> connection, Optional<String> identifier) {
    EarlierFailures failures = FAILURES.get(connection);
    if (failures == null) {
      failures = new EarlierFailures();
      FAILURES.set(connection, failures);
    }
    return failures.add(identifier);
  }

  /** Returns whether each response to a request on a connection can be told from earlier ones. */
  static boolean allow(Connection<?> connection, Optional<String> identifier) {
    EarlierFailures failures = FAILURES.get(connection);
    return failures == null || !failures.contains(identifier);
  }

  private synchronized boolean add(Optional<String> identifier) {
    identifier.ifPresent(identifiers::add);
    return identifier.isPresent() && identifiers.size() <= LIMIT;
  }

  private synchronized boolean contains(Optional<String> identifier) {
    return identifier.filter(identifiers::contains).isPresent();
  }
}

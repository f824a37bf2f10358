package org.corianderweir.protocol.operator;

import java.util.Optional;

/** Messages about revisions of the configuration. */
public final class ConfigurationMessages {
  private ConfigurationMessages() {}

  /**
   * Request that identifies a revision.
   *
   * @param revision number of the revision; empty means the one in force
   */
  public record RevisionRequest(Optional<Long> revision) {}

  /**
   * Request to compare two revisions.
   *
   * @param from earlier revision; empty means the one before {@code to}
   * @param to later revision; empty means the one in force
   */
  public record DifferenceRequest(Optional<Long> from, Optional<Long> to) {}
}

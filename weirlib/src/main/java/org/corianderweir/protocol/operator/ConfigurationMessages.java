package org.corianderweir.protocol.operator;

import java.util.Optional;

/** Messages about revisions of the configuration. */
public final class ConfigurationMessages {
  private ConfigurationMessages() {}

  /**
   * Names a revision.
   *
   * @param revision number of the revision; absent means the one in force
   */
  public record RevisionRequest(Optional<Long> revision) {}

  /**
   * Names two revisions to compare.
   *
   * @param from earlier revision; absent means the one before the other
   * @param to later revision; absent means the one in force
   */
  public record DifferenceRequest(Optional<Long> from, Optional<Long> to) {}
}

package org.corianderweir.protocol.operator;

import java.util.List;

/** Messages about revisions of the configuration. */
public final class ConfigurationMessages {
  private ConfigurationMessages() {}

  /**
   * Names a revision.
   *
   * @param revision number of the revision
   */
  public record RevisionRequest(long revision) {}

  /**
   * The revisions that an entry instance remembers since its start.
   *
   * @param revisions the revisions, oldest first
   */
  public record History(List<RevisionEntry> revisions) {}

  /**
   * A revision that was in force.
   *
   * @param revision its number
   * @param operation identifier of the change that made it
   * @param inForceMilliseconds wall time at which it came in force at the entry instance,
   *     milliseconds since the epoch
   */
  public record RevisionEntry(long revision, String operation, long inForceMilliseconds) {}
}

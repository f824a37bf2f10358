package org.corianderweir.logic.keys;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the latest time at which the configuration in force is known to have been current. All
 * times are on this process's monotonic clock. A confirmation counts from the time before its
 * request was sent. Only the control thread uses it.
 *
 * <p>A revision is current at a time if the platform's store returned it then. If no zone has
 * contact with the store and none knows a higher revision, the revision in force is still current,
 * because no change can have been accepted.
 */
public final class KeyFreshness {
  /** Time without a response of the platform's store after which contact counts as lost. */
  public static final Duration STORE_CONTACT_TIMEOUT = Duration.ofSeconds(3);

  private final String ownZone;
  private final Map<String, ZoneReport> zoneReports = new TreeMap<>();
  private long revisionInForce;
  private @Nullable RevisionConfirmation storeConfirmation;
  private @Nullable RevisionConfirmation latestConfirmation;
  private @Nullable RevisionConfirmation pendingConfirmation;
  private @Nullable Long storeFailureNanoseconds;

  /** Creates a tracker without any confirmation. */
  public KeyFreshness(String ownZone) {
    this.ownZone = ownZone;
  }

  /** Records the revision in force here. A lower revision than the known one is ignored. */
  public void recordRevisionInForce(long revision) {
    revisionInForce = Math.max(revisionInForce, revision);
    RevisionConfirmation pending = pendingConfirmation;
    if (pending != null && pending.revision() <= revisionInForce) {
      pendingConfirmation = null;
      updateLatestConfirmation(pending);
    }
  }

  /**
   * Records a response of the platform's store, received by this instance or reported by another
   * one.
   */
  public void recordStoreConfirmation(RevisionConfirmation confirmation) {
    if (isLater(confirmation, storeConfirmation)) {
      storeConfirmation = confirmation;
    }
    recordConfirmation(confirmation);
  }

  /** Records that a revision was current, as concluded by another instance. */
  public void recordConfirmation(RevisionConfirmation confirmation) {
    if (confirmation.revision() <= revisionInForce) {
      updateLatestConfirmation(confirmation);
    } else if (isLater(confirmation, pendingConfirmation)) {
      pendingConfirmation = confirmation;
    }
  }

  /** Records that the platform's store did not respond to a request sent at the given time. */
  public void recordStoreFailure(long requestedNanoseconds) {
    storeFailureNanoseconds = requestedNanoseconds;
  }

  /**
   * Records a report about another availability zone. A report that is not newer than the known one
   * is ignored.
   */
  public void recordZoneReport(ZoneReport report) {
    ZoneReport known = zoneReports.get(report.zone());
    boolean later = known == null || report.asOfNanoseconds() - known.asOfNanoseconds() > 0;
    if (later && !report.zone().equals(ownZone)) {
      zoneReports.put(report.zone(), report);
    }
  }

  /**
   * Confirms the revision in force if no zone has contact with the platform's store, because no
   * change can have been accepted then.
   *
   * @param zones all availability zones that have entry instances
   */
  public void confirmIfNoZoneHasStoreContact(Collection<String> zones, long nowNanoseconds) {
    Long failure = storeFailureNanoseconds;
    if (failure == null || hasStoreContact(nowNanoseconds)) {
      return;
    }
    long asOf = failure;
    for (String zone : zones) {
      if (zone.equals(ownZone)) {
        continue;
      }
      ZoneReport report = zoneReports.get(zone);
      if (report == null
          || report.hasStoreContact()
          || report.highestRevision() > revisionInForce) {
        return;
      }
      if (report.asOfNanoseconds() - asOf < 0) {
        asOf = report.asOfNanoseconds();
      }
    }
    updateLatestConfirmation(new RevisionConfirmation(revisionInForce, asOf));
  }

  /**
   * Returns whether any instance is known to have had a response of the store within the timeout.
   */
  public boolean hasStoreContact(long nowNanoseconds) {
    RevisionConfirmation latest = storeConfirmation;
    return latest != null
        && nowNanoseconds - latest.asOfNanoseconds() <= STORE_CONTACT_TIMEOUT.toNanos();
  }

  /** Returns the latest known response of the platform's store. */
  public Optional<RevisionConfirmation> storeConfirmation() {
    return Optional.ofNullable(storeConfirmation);
  }

  /** Returns the latest confirmation of the revision in force, or of a former one. */
  public Optional<RevisionConfirmation> latestConfirmation() {
    return Optional.ofNullable(latestConfirmation);
  }

  /** Returns the latest reports about the other availability zones. */
  public Collection<ZoneReport> zoneReports() {
    return java.util.List.copyOf(zoneReports.values());
  }

  private void updateLatestConfirmation(RevisionConfirmation confirmation) {
    if (isLater(confirmation, latestConfirmation)) {
      latestConfirmation = confirmation;
    }
  }

  private static boolean isLater(
      RevisionConfirmation candidate, @Nullable RevisionConfirmation known) {
    return known == null || candidate.asOfNanoseconds() - known.asOfNanoseconds() > 0;
  }
}

package org.corianderweir.logic.keys;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * Tracks until when the configuration in force is known to have been current. All moments are by
 * the own monotonic clock, and count from before the question was asked. Used by the control thread
 * alone.
 *
 * <p>A revision is current at a moment if the platform's service named it then. If nobody has
 * contact with the service, it is current as long as every availability zone says so and none knows
 * a higher revision: nothing can have been accepted.
 */
public final class KeyFreshness {
  /** Time without an answer of the platform's service after which contact counts as lost. */
  public static final Duration CONTACT_LIMIT = Duration.ofSeconds(3);

  private final String ownZone;
  private final Map<String, ZoneWord> words = new TreeMap<>();
  private long inForce;
  private @Nullable Confirmation fromStore;
  private @Nullable Confirmation usable;
  private @Nullable Confirmation ahead;
  private @Nullable Long failureNanoseconds;

  /** Creates a tracker to which nothing is confirmed. */
  public KeyFreshness(String ownZone) {
    this.ownZone = ownZone;
  }

  /** Takes note of the revision in force here; it only ever grows. */
  public void adopted(long revision) {
    inForce = Math.max(inForce, revision);
    Confirmation waiting = ahead;
    if (waiting != null && waiting.revision() <= inForce) {
      ahead = null;
      use(waiting);
    }
  }

  /** Takes an answer of the platform's service, own or heard of. */
  public void storeConfirmed(Confirmation confirmation) {
    if (isLater(confirmation, fromStore)) {
      fromStore = confirmation;
    }
    confirmed(confirmation);
  }

  /** Takes another instance's conclusion that a revision was current. */
  public void confirmed(Confirmation confirmation) {
    if (confirmation.revision() <= inForce) {
      use(confirmation);
    } else if (isLater(confirmation, ahead)) {
      ahead = confirmation;
    }
  }

  /** Takes note that the platform's service did not answer a question asked at a moment. */
  public void storeFailed(long askedNanoseconds) {
    failureNanoseconds = askedNanoseconds;
  }

  /** Takes the word of an availability zone; an older one than the known one is ignored. */
  public void heard(ZoneWord word) {
    ZoneWord known = words.get(word.zone());
    boolean later = known == null || word.momentNanoseconds() - known.momentNanoseconds() > 0;
    if (later && !word.zone().equals(ownZone)) {
      words.put(word.zone(), word);
    }
  }

  /**
   * Concludes that nothing can have been accepted, if that is so.
   *
   * @param zones all availability zones that have entry instances
   */
  public void concludeIfNobodyHasContact(Collection<String> zones, long nowNanoseconds) {
    Long failure = failureNanoseconds;
    if (failure == null || hasStoreContact(nowNanoseconds)) {
      return;
    }
    long moment = failure;
    for (String zone : zones) {
      if (zone.equals(ownZone)) {
        continue;
      }
      ZoneWord word = words.get(zone);
      if (word == null || word.storeContact() || word.highestRevision() > inForce) {
        return;
      }
      if (word.momentNanoseconds() - moment < 0) {
        moment = word.momentNanoseconds();
      }
    }
    use(new Confirmation(inForce, moment));
  }

  /** Returns whether any instance is known to have had an answer of the service lately. */
  public boolean hasStoreContact(long nowNanoseconds) {
    Confirmation latest = fromStore;
    return latest != null && nowNanoseconds - latest.momentNanoseconds() <= CONTACT_LIMIT.toNanos();
  }

  /** Returns the latest answer of the platform's service that is known. */
  public Optional<Confirmation> fromStore() {
    return Optional.ofNullable(fromStore);
  }

  /** Returns the latest confirmation of the revision in force, or of a former one. */
  public Optional<Confirmation> usable() {
    return Optional.ofNullable(usable);
  }

  /** Returns what the other availability zones said last. */
  public Collection<ZoneWord> words() {
    return java.util.List.copyOf(words.values());
  }

  private void use(Confirmation confirmation) {
    if (isLater(confirmation, usable)) {
      usable = confirmation;
    }
  }

  private static boolean isLater(Confirmation candidate, @Nullable Confirmation known) {
    return known == null || candidate.momentNanoseconds() - known.momentNanoseconds() > 0;
  }
}

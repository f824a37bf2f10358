package org.corianderweir.logic.relay;

import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.corianderweir.model.store.StoreChange;
import org.corianderweir.model.store.StoreItem;

/**
 * Decides whether an entry instance watches the store itself or follows another instance of its
 * availability zone, and keeps its view from going backwards.
 *
 * <p>The first instance in the order of the zone, its relay, always watches. Each of the others
 * watches if it gets no current updates from an instance before it in the order. Whoever watches
 * sends updates to the whole zone. An update is applied only if it continues at the revision that
 * this instance has reached, so an instance that was paused or is behind can neither bring back an
 * item that was removed nor confirm an old view. An instance that lacks more changes than the
 * others remember gets a snapshot of the items, which it applies only if it is newer than its own
 * view. A newcomer begins with a listing of the store.
 *
 * <p>Not thread-safe. Times are monotonic and in nanoseconds.
 */
public final class StoreFollower {
  /** Time after which a request for missing changes may be repeated; doubled with each repeat. */
  private static final Duration REQUEST_INTERVAL = Duration.ofMillis(300);

  /**
   * Longest time between requests. A snapshot needs up to a second on a narrow link, and each
   * further request would add another one to what waits there.
   */
  private static final Duration LARGEST_REQUEST_INTERVAL = Duration.ofMillis(1_200);

  /** Time after an outage of the store for which updates mention it. */
  private static final Duration RECOVERY_MEMORY = Duration.ofSeconds(5);

  /**
   * Number of changes from which an answer of the store counts as a part: the store has more. The
   * platform's store returns at most 500 changes with an answer. Changes that this instance already
   * had from its zone are not counted, so that only the foremost instance reads on.
   */
  private static final int PARTIAL_ANSWER_CHANGES = 256;

  private final String self;
  private final String zone;
  private final RelayTiming timing;
  private final StoreHistory history = new StoreHistory();
  private final SnapshotAssembly assembly = new SnapshotAssembly();
  private List<String> ranking;
  private long revision;
  private volatile long confirmedNanoseconds;
  private long contactNanoseconds;
  private Optional<Long> requestedNanoseconds = Optional.empty();
  private Duration requestInterval = REQUEST_INTERVAL;
  private Optional<Long> recoveredNanoseconds = Optional.empty();
  private Optional<Long> aheadNanoseconds = Optional.empty();
  private long aheadRevision;
  private Optional<String> source = Optional.empty();
  private Optional<String> contact = Optional.empty();
  private boolean storeAnswers;
  private boolean storeHasMore;
  private boolean watching;

  /**
   * Creates a follower that has not read the store yet.
   *
   * @param self name of this instance
   * @param zone its availability zone
   */
  public StoreFollower(String self, String zone, RelayTiming timing) {
    this.self = self;
    this.zone = zone;
    this.timing = timing;
    ranking = List.of(self);
  }

  /** Sets the names of the instances of the zone; this one is always included. */
  public void setZoneMembers(Collection<String> names) {
    Set<String> all = new HashSet<>(names);
    all.add(self);
    ranking = RelayRanking.rank(all, zone);
  }

  /** Returns the position of this instance in the order of its zone; 0 is the relay. */
  public int rank() {
    return ranking.indexOf(self);
  }

  /** Returns the revision that this instance has reached. */
  public long revision() {
    return revision;
  }

  /**
   * Returns the time since the store confirmed the view, to this instance or to its relay. Any
   * thread may call this.
   */
  public Duration age(long nowNanoseconds) {
    return Duration.ofNanos(nowNanoseconds - confirmedNanoseconds);
  }

  /** Returns the instance whose update was applied last; empty if the store was read last. */
  public Optional<String> source() {
    return source;
  }

  /** Decides whether this instance watches the store itself, and remembers the decision. */
  public WatchDecision decide(long nowNanoseconds) {
    WatchDecision decision = WatchDecision.FOLLOW;
    if (rank() == 0) {
      decision = WatchDecision.WATCH_AS_RELAY;
    } else if (silenceLeftNanoseconds(nowNanoseconds) <= 0) {
      decision = WatchDecision.WATCH_FOR_SILENT_RELAY;
    } else if (confirmationLeftNanoseconds(nowNanoseconds) <= 0) {
      decision = WatchDecision.WATCH_FOR_OLD_VIEW;
    }
    watching = decision.watches();
    return decision;
  }

  /** Returns the time until this instance watches the store unless it gets another update. */
  public Duration timeUntilWatch(long nowNanoseconds) {
    long left =
        rank() == 0
            ? 0
            : Math.min(
                silenceLeftNanoseconds(nowNanoseconds),
                confirmationLeftNanoseconds(nowNanoseconds));
    return Duration.ofNanos(Math.max(0, left));
  }

  private long silenceLeftNanoseconds(long nowNanoseconds) {
    return timing.silenceLimit().toNanos()
        + timing.rankDelayNanoseconds(rank())
        - (nowNanoseconds - contactNanoseconds);
  }

  private long confirmationLeftNanoseconds(long nowNanoseconds) {
    return timing.confirmationLimit().toNanos()
        + timing.rankDelayNanoseconds(rank())
        - (nowNanoseconds - confirmedNanoseconds);
  }

  /** Records a complete listing of the store at a revision. */
  public void listed(long listRevision, long nowNanoseconds) {
    if (listRevision >= revision) {
      revision = listRevision;
      history.restart(listRevision);
    }
    contactNanoseconds = nowNanoseconds;
    confirmedNanoseconds = nowNanoseconds;
    storeAnswers = true;
    source = Optional.empty();
  }

  /**
   * Records the result of a watch.
   *
   * @return the update that the other instances of the zone need; its changes are new to this one
   */
  public StoreUpdate watched(List<StoreChange> changes, long toRevision, long nowNanoseconds) {
    long fromRevision = revision;
    List<StoreChange> added = advance(changes, toRevision);
    storeHasMore = added.size() >= PARTIAL_ANSWER_CHANGES;
    // An answer that is only a part of the changes, or that is older than what another instance
    // has, does not confirm that the view is current.
    if (toRevision >= revision && !storeHasMore && !isKnownBehind(nowNanoseconds)) {
      confirmedNanoseconds = nowNanoseconds;
    }
    storeAnswers = true;
    source = Optional.empty();
    return update(fromRevision, added, nowNanoseconds);
  }

  /**
   * Returns whether the next watch begins at once because the last one returned only a part of the
   * changes. An instance that can get the others from its zone does not call the store for them.
   */
  public boolean readsOn(long nowNanoseconds) {
    return storeHasMore && !isKnownBehind(nowNanoseconds);
  }

  /** Returns whether another instance lately sent an update that is ahead of this instance. */
  private boolean isKnownBehind(long nowNanoseconds) {
    return aheadRevision > revision
        && aheadNanoseconds
            .filter(known -> nowNanoseconds - known < timing.silenceLimit().toNanos())
            .isPresent();
  }

  /** Records that the store does not answer this instance. */
  public void storeLost() {
    storeAnswers = false;
  }

  /** Records that the store answers this instance again after an outage. */
  public void storeRecovered(long nowNanoseconds) {
    recoveredNanoseconds = Optional.of(nowNanoseconds);
  }

  /** Returns an update without changes, which confirms the present revision. */
  public StoreUpdate heartbeat(long nowNanoseconds) {
    return update(revision, List.of(), nowNanoseconds);
  }

  /** Returns the changes after a revision; empty if they are no longer known. */
  public Optional<StoreUpdate> changesAfter(long requestedRevision, long nowNanoseconds) {
    return history
        .since(requestedRevision)
        .map(changes -> update(requestedRevision, changes, nowNanoseconds));
  }

  /**
   * Returns a snapshot for an instance that lacks changes which are no longer known.
   *
   * @param items all items of the store at the present revision
   * @return the parts of the snapshot; none if it is too large
   */
  public List<StoreSnapshotPart> snapshot(Collection<StoreItem> items, long nowNanoseconds) {
    return SnapshotDivider.divide(heartbeat(nowNanoseconds), items);
  }

  /** Handles an update of another instance of the zone. */
  public RelayReaction receive(String sender, StoreUpdate update, long nowNanoseconds) {
    if (update.toRevision() < revision) {
      return new RelayReaction.None();
    }
    if (update.fromRevision() > revision) {
      aheadNanoseconds = Optional.of(nowNanoseconds);
      aheadRevision = update.toRevision();
      return request(nowNanoseconds);
    }
    List<StoreChange> added = advance(update.changes(), update.toRevision());
    recordConfirmation(sender, update, nowNanoseconds);
    return added.isEmpty()
        ? new RelayReaction.None()
        : new RelayReaction.Apply(added, update.recoveredAge());
  }

  /** Handles a part of a snapshot of another instance of the zone. */
  public RelayReaction receive(String sender, StoreSnapshotPart part, long nowNanoseconds) {
    StoreUpdate confirmation = part.confirmation();
    if (confirmation.toRevision() <= revision) {
      return new RelayReaction.None();
    }
    Optional<List<StoreItem>> items = assembly.add(sender, part);
    requestedNanoseconds = Optional.of(nowNanoseconds);
    if (items.isEmpty()) {
      return new RelayReaction.None();
    }
    revision = confirmation.toRevision();
    history.restart(revision);
    recordConfirmation(sender, confirmation, nowNanoseconds);
    return new RelayReaction.Replace(items.get(), revision, confirmation.recoveredAge());
  }

  /** Records an update that the view has reached. */
  private void recordConfirmation(String sender, StoreUpdate update, long nowNanoseconds) {
    requestedNanoseconds = Optional.empty();
    requestInterval = REQUEST_INTERVAL;
    long confirmed = nowNanoseconds - update.age().toNanos();
    if (confirmed - confirmedNanoseconds > 0) {
      confirmedNanoseconds = confirmed;
    }
    recordContact(sender, update.inTouch(), nowNanoseconds);
    source = Optional.of(sender);
    if (update.recoveredAge().isPresent()) {
      recoveredNanoseconds = Optional.of(nowNanoseconds - update.recoveredAge().get().toNanos());
    }
  }

  private void recordContact(String sender, boolean inTouch, long nowNanoseconds) {
    int senderRank = ranking.indexOf(sender);
    if (senderRank < 0 || senderRank >= rank()) {
      return;
    }
    if (inTouch) {
      contactNanoseconds = nowNanoseconds;
      contact = Optional.of(sender);
    } else if (contact.equals(Optional.of(sender))) {
      // The relay has lost the store, so there is no need to wait until it is silent.
      contactNanoseconds = nowNanoseconds - timing.silenceLimit().toNanos();
      contact = Optional.empty();
    }
  }

  private RelayReaction request(long nowNanoseconds) {
    boolean recent =
        requestedNanoseconds
            .filter(sent -> nowNanoseconds - sent < requestInterval.toNanos())
            .isPresent();
    if (recent) {
      return new RelayReaction.None();
    }
    if (requestedNanoseconds.isPresent()) {
      Duration doubled = requestInterval.multipliedBy(2);
      requestInterval =
          doubled.compareTo(LARGEST_REQUEST_INTERVAL) < 0 ? doubled : LARGEST_REQUEST_INTERVAL;
    }
    requestedNanoseconds = Optional.of(nowNanoseconds);
    return new RelayReaction.Request(revision);
  }

  /** Moves to a revision and returns those of the changes that this instance did not know. */
  private List<StoreChange> advance(List<StoreChange> changes, long toRevision) {
    long known = revision;
    List<StoreChange> added = changes.stream().filter(change -> change.revision() > known).toList();
    history.add(added);
    revision = Math.max(revision, toRevision);
    return added;
  }

  private StoreUpdate update(long fromRevision, List<StoreChange> changes, long nowNanoseconds) {
    Optional<Duration> recoveredAge =
        recoveredNanoseconds
            .map(recovered -> Duration.ofNanos(nowNanoseconds - recovered))
            .filter(age -> age.compareTo(RECOVERY_MEMORY) < 0);
    return new StoreUpdate(
        fromRevision,
        revision,
        changes,
        age(nowNanoseconds),
        watching && storeAnswers,
        recoveredAge);
  }
}

package org.corianderweir.logic.relay;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.corianderweir.model.store.StoreChange;

/**
 * All changes of the store between two revisions, as an instance knows them. Without changes it
 * only confirms a revision.
 *
 * @param fromRevision revision after which the changes begin
 * @param toRevision last revision that the changes include
 * @param changes changes in the order of their revisions
 * @param age time since the store confirmed the last revision to the sender
 * @param inTouch whether the sender itself watches the store and the store answers it
 * @param recoveredAge time since the store answered the sender again after an outage; empty if
 *     there was none lately
 */
public record StoreUpdate(
    long fromRevision,
    long toRevision,
    List<StoreChange> changes,
    Duration age,
    boolean inTouch,
    Optional<Duration> recoveredAge) {
  /** Copies the list. */
  public StoreUpdate {
    changes = List.copyOf(changes);
  }
}

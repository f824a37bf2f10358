package org.corianderweir.daemon.entry;

import org.corianderweir.logic.relay.StoreSnapshotPart;
import org.corianderweir.logic.relay.StoreUpdate;

/** Sends updates of the store to other entry instances of the availability zone. */
public interface StoreUpdates {
  /** Sends an update to all other instances of the zone. */
  void sendToZone(StoreUpdate update);

  /** Sends an update to one instance. */
  void send(String instance, StoreUpdate update);

  /** Sends a part of a snapshot to one instance. */
  void send(String instance, StoreSnapshotPart part);

  /** Requests the changes after a revision from an instance. */
  void requestChanges(String instance, long afterRevision);
}

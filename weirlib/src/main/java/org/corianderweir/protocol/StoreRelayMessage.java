package org.corianderweir.protocol;

import org.corianderweir.logic.relay.StoreSnapshotPart;
import org.corianderweir.logic.relay.StoreUpdate;

/** Messages by which entry instances of an availability zone pass on the store's changes. */
public sealed interface StoreRelayMessage extends PeerMessage {
  /** Changes of the store, or a confirmation that there are none. */
  record Update(StoreUpdate update) implements StoreRelayMessage {}

  /** A part of the items of the store, for an instance that lacks changes nobody remembers. */
  record Snapshot(StoreSnapshotPart part) implements StoreRelayMessage {}

  /** A request for the changes after a revision, answered by an update or by a snapshot. */
  record ChangesRequest(long afterRevision) implements StoreRelayMessage {}
}

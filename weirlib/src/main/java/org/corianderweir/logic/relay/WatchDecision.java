package org.corianderweir.logic.relay;

/** Whether an instance watches the store itself, and why. */
public enum WatchDecision {
  /** Another instance of the zone sends current updates. */
  FOLLOW,
  /** The instance is the first one in the order of its zone. */
  WATCH_AS_RELAY,
  /** No instance before it in the order sends current updates. */
  WATCH_FOR_SILENT_RELAY,
  /** The store has not confirmed the view for too long. */
  WATCH_FOR_OLD_VIEW;

  /** Returns whether the instance watches the store. */
  public boolean watches() {
    return this != FOLLOW;
  }
}

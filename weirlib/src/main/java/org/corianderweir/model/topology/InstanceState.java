package org.corianderweir.model.topology;

/** The states in the life of an entry instance. */
public enum InstanceState {
  /** It has started and has no configuration yet; it serves nothing. */
  JOINING,
  /** It serves callers and is named in look-up answers. */
  SERVING,
  /** It is no longer named in look-up answers, and ends when its requests have ended. */
  LEAVING
}

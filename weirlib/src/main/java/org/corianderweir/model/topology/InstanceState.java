package org.corianderweir.model.topology;

/** The lifecycle states of an entry instance. */
public enum InstanceState {
  /** It has started, but has no configuration yet and serves no requests. */
  JOINING,
  /** It serves callers and appears in look-up answers. */
  SERVING,
  /** It no longer appears in look-up answers, and stops when its requests are complete. */
  LEAVING
}

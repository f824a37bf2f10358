package org.corianderweir.logic.traffic;

/** Why a request is not run. */
public enum RejectionReason {
  /** No configuration is known yet. */
  NOT_READY,
  /** No route fits host and path. */
  NO_ROUTE,
  /** The key is missing or unknown. */
  KEY_UNKNOWN,
  /** The organisation is beyond its limit. */
  OVER_LIMIT,
  /** No server may take it now. */
  NO_SERVER,
  /** The time that the caller waits is over. */
  TOO_LATE
}

package org.corianderweir.model;

/** Codes of the unchecked exceptions that this project throws. */
public enum ErrorCode {
  /** A settings file is missing or invalid. */
  SETTINGS_INVALID,
  /** A configuration breaks a rule and was not accepted. */
  CONFIGURATION_INVALID,
  /** A change was based on a revision that is no longer current. */
  REVISION_CONFLICT,
  /** It is not known whether a change was accepted; repeating the same operation is harmless. */
  OUTCOME_UNKNOWN,
  /** The instance hears nobody of its availability zone and may not accept changes. */
  INSTANCE_ISOLATED,
  /** A service was asked for by a name that nobody registered, or with another type. */
  SERVICE_UNKNOWN,
  /** Services depend on each other in a circle. */
  SERVICE_CYCLE,
  /** A frame could not be decoded. */
  FRAME_INVALID,
  /** The other side could not be reached; nothing was sent. */
  CONNECT_FAILED,
  /** The exchange ended without a whole answer after bytes had been sent. */
  ANSWER_LOST,
  /** The deadline passed before the whole answer arrived. */
  DEADLINE_EXCEEDED,
  /** The platform's service is unreachable or failing. */
  PLATFORM_UNAVAILABLE,
  /** JSON text could not be read as the expected type. */
  JSON_INVALID
}

package org.corianderweir.model;

/** The error codes of {@link WeirException}. */
public enum ErrorCode {
  /** A settings file is missing or invalid. */
  SETTINGS_INVALID,
  /** A configuration or a change of it is invalid and was not accepted. */
  CONFIGURATION_INVALID,
  /** A change was based on a revision that is no longer current. */
  REVISION_CONFLICT,
  /** It is not known whether a change was accepted; a retry of the same operation is idempotent. */
  OUTCOME_UNKNOWN,
  /** The instance gets no messages from others of its zone and must not accept changes. */
  INSTANCE_ISOLATED,
  /** No service is registered under the requested name, or it has another type. */
  SERVICE_UNKNOWN,
  /** Services have a cyclic dependency. */
  SERVICE_CYCLE,
  /** A frame could not be decoded. */
  FRAME_INVALID,
  /** No connection to the peer could be opened; nothing was sent. */
  CONNECT_FAILED,
  /** The exchange ended without a complete answer after bytes had been sent. */
  ANSWER_LOST,
  /** The deadline passed before the whole answer arrived. */
  DEADLINE_EXCEEDED,
  /** A service of the platform is unreachable or fails. */
  PLATFORM_UNAVAILABLE,
  /** A JSON text could not be parsed as the expected type. */
  JSON_INVALID
}

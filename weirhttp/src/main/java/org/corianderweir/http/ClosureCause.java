package org.corianderweir.http;

/** Why a listener closed the connection of a caller at one of its limits. */
public enum ClosureCause {
  /** There were too many connections, and this one had been idle for longest. */
  IDLE,
  /** There were too many connections and none was idle: the oldest unfinished or the new one. */
  TOO_MANY_CONNECTIONS,
  /** Too many requests were unfinished, and this one for longest. */
  TOO_MANY_UNFINISHED,
  /** The bytes of unfinished heads used up their memory, and this connection held most. */
  MEMORY,
  /** The head took too long. */
  HEAD_TIMEOUT,
  /** The body stopped while the memory of bodies was short. */
  STALLED_BODY,
  /** A request took too long to send, or a response took too long to be read. */
  TRANSFER_TIMEOUT
}

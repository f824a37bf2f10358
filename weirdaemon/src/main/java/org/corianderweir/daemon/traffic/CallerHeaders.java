package org.corianderweir.daemon.traffic;

import java.util.Set;

/** The header fields that callers and entry instances exchange. */
public final class CallerHeaders {
  /** The caller's key. */
  public static final String KEY = "Weir-Key";

  /** The caller's identifier of its request. */
  public static final String REQUEST = "Weir-Request";

  /** How long the caller waits, in milliseconds from now. */
  public static final String DEADLINE_MILLISECONDS = "Weir-Deadline-Milliseconds";

  /** The organisation that a request runs for; set by the entry instance alone. */
  public static final String ORGANISATION = "Weir-Organisation";

  /** The code of a refusal. */
  public static final String REFUSAL = "Weir-Refusal";

  /** Whether a refused request may have run. */
  public static final String EXECUTION = "Weir-Execution";

  /** The name of the entry instance that answered. */
  public static final String ENTRY_INSTANCE = "Weir-Entry-Instance";

  /** The name of the backend server that answered. */
  public static final String BACKEND_SERVER = "Weir-Backend-Server";

  /** Fields of callers that no backend server may see as sent, in lower case. */
  static final Set<String> NOT_HANDED_ON =
      Set.of("weir-key", "weir-organisation", "weir-request", "weir-deadline-milliseconds");

  private CallerHeaders() {}
}

package org.corianderweir.daemon.traffic;

import java.util.Locale;

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

  /** The entry instance that handed a request to the issuer of its identifier. */
  static final String FORWARDED_BY = "Weir-Forwarded-By";

  private static final String PREFIX = "weir-";

  private CallerHeaders() {}

  /**
   * Returns whether a field is this system's own; those of callers and servers aren't handed on.
   */
  static boolean isReserved(String fieldName) {
    return fieldName.toLowerCase(Locale.ROOT).startsWith(PREFIX);
  }
}

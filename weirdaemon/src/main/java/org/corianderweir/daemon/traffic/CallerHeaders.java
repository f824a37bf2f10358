package org.corianderweir.daemon.traffic;

import java.util.Locale;

/** Names of the header fields that callers, entry instances and backend servers exchange. */
public final class CallerHeaders {
  /** The caller's key. */
  public static final String KEY = "Weir-Key";

  /** The name of a request; for requests that are not idempotent, an issued identifier. */
  public static final String REQUEST = "Weir-Request";

  /** Time until the caller's deadline, in milliseconds from when the request is received. */
  public static final String DEADLINE_MILLISECONDS = "Weir-Deadline-Milliseconds";

  /** The organisation of a request; set by the entry instance only. */
  public static final String ORGANISATION = "Weir-Organisation";

  /** The code of a refusal. */
  public static final String REFUSAL = "Weir-Refusal";

  /** Whether a refused request may have run. */
  public static final String EXECUTION = "Weir-Execution";

  /** The name of the entry instance that answered. */
  public static final String ENTRY_INSTANCE = "Weir-Entry-Instance";

  /** The name of the backend server that answered. */
  public static final String BACKEND_SERVER = "Weir-Backend-Server";

  /** The entry instance that forwarded a request to the issuer of its identifier. */
  static final String FORWARDED_BY = "Weir-Forwarded-By";

  private static final String PREFIX = "weir-";

  private CallerHeaders() {}

  /**
   * Returns whether a field is reserved for entry instances. Reserved fields that callers and
   * backend servers send are not forwarded.
   */
  static boolean isReserved(String fieldName) {
    return fieldName.toLowerCase(Locale.ROOT).startsWith(PREFIX);
  }
}

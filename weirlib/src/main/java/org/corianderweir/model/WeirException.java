package org.corianderweir.model;

import org.jspecify.annotations.Nullable;

/** The unchecked exception of the project; its code tells programs what happened. */
public final class WeirException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /** Creates an exception without a cause. */
  public WeirException(ErrorCode code, String message) {
    this(code, message, null);
  }

  /** Creates an exception with the failure that led to it. */
  public WeirException(ErrorCode code, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /** Returns the code of the error. */
  public ErrorCode code() {
    return code;
  }
}

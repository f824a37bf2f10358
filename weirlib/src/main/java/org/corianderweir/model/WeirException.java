package org.corianderweir.model;

import java.util.concurrent.CompletionException;
import org.jspecify.annotations.Nullable;

/** The unchecked exception of this project, with a code that programs can evaluate. */
public final class WeirException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;

  /** Creates an exception without a cause. */
  public WeirException(ErrorCode code, String message) {
    this(code, message, null);
  }

  /** Creates an exception with the failure that caused it, if any. */
  public WeirException(ErrorCode code, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.code = code;
  }

  /** Returns the cause of a {@link CompletionException}, or the failure itself. */
  public static Throwable unwrap(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : null;
    return cause == null ? failure : cause;
  }

  /** Returns the code of the error. */
  public ErrorCode code() {
    return code;
  }
}

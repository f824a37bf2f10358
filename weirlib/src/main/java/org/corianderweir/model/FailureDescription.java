package org.corianderweir.model;

import java.util.Arrays;

/** Describes an unexpected failure for the log: what it is, and where in this project it arose. */
public final class FailureDescription {
  private static final String OWN_PACKAGE = "org.corianderweir.";

  private FailureDescription() {}

  /** Returns the failure and the innermost place of this project in its stack, as log fields. */
  public static String of(Throwable failure) {
    String place =
        Arrays.stream(failure.getStackTrace())
            .filter(frame -> frame.getClassName().startsWith(OWN_PACKAGE))
            .findFirst()
            .map(frame -> frame.getFileName() + ":" + frame.getLineNumber())
            .orElse("unknown");
    return "error=\"%s\" at=%s".formatted(String.valueOf(failure).replace('"', '\''), place);
  }
}

package org.corianderweir.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.util.logging.LogManager;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;

/** Sends the log to the standard error stream, one line an event. */
final class LogSetup {
  private LogSetup() {}

  static void configure() {
    try (InputStream properties = LogSetup.class.getResourceAsStream("logging.properties")) {
      LogManager.getLogManager().readConfiguration(properties);
    } catch (IOException failure) {
      throw new WeirException(ErrorCode.SETTINGS_INVALID, "can't set up the log", failure);
    }
  }
}

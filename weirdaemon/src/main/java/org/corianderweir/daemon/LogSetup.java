package org.corianderweir.daemon;

import java.io.IOException;
import java.io.InputStream;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.Logger;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;

/** Configures the output of the log, which has one line for each event. */
final class LogSetup {
  /** Strong reference, because a logger that is garbage collected loses its level. */
  private static final Logger PROJECT_LOGGER = Logger.getLogger("org.corianderweir");

  private LogSetup() {}

  static void configure() {
    try (InputStream properties = LogSetup.class.getResourceAsStream("logging.properties")) {
      LogManager.getLogManager().readConfiguration(properties);
    } catch (IOException failure) {
      throw new WeirException(ErrorCode.SETTINGS_INVALID, "can't set up the log", failure);
    }
  }

  /** Writes the log in logfmt, with the decisions on requests, to the standard output. */
  static void configureLogfmt() {
    LogManager.getLogManager().reset();
    Logger root = Logger.getLogger("");
    root.addHandler(new AsyncLogHandler(System.out, new LogfmtFormatter()));
    root.setLevel(Level.WARNING);
    PROJECT_LOGGER.setLevel(Level.FINE);
  }
}

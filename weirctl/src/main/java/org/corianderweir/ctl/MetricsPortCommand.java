package org.corianderweir.ctl;

import java.util.Map;
import org.corianderweir.http.HttpClient;

/**
 * A command of {@code weirctl} that calls the metrics port of entry instances, which needs no
 * credential, or their operators' interface.
 */
public interface MetricsPortCommand {
  /**
   * Runs the command and returns its result.
   *
   * @param client HTTP client that has been started
   * @param options global options of the command line
   * @param environment environment variables of the process
   * @throws CommandException if the command fails
   */
  CommandResult run(HttpClient client, GlobalOptions options, Map<String, String> environment);
}

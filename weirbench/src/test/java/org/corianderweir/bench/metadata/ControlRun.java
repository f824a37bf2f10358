package org.corianderweir.bench.metadata;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.corianderweir.ctl.CommandLine;
import org.corianderweir.ctl.ExitStatus;

/** What a command of {@code weirctl} returned and printed. */
public record ControlRun(ExitStatus status, String output, String errors) {
  /** Runs a command whose words are separated by spaces. */
  public static ControlRun of(String command) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    ByteArrayOutputStream errors = new ByteArrayOutputStream();
    ExitStatus status =
        new CommandLine(
                Map.of(),
                new PrintStream(output, true, StandardCharsets.UTF_8),
                new PrintStream(errors, true, StandardCharsets.UTF_8))
            .run(command.split(" "));
    return new ControlRun(
        status, output.toString(StandardCharsets.UTF_8), errors.toString(StandardCharsets.UTF_8));
  }
}

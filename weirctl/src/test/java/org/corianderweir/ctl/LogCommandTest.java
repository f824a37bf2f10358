package org.corianderweir.ctl;

import static org.testng.Assert.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.testng.annotations.Test;

/** Tests of {@code weirctl log}. */
public class LogCommandTest {
  private static final String FLEET_CHANGED_LINE =
      "time=2026-01-01T00:00:01Z level=INFO event=WEIR-2201 title=\"Fleet changed\" subject=fleet"
          + " process=entry-1 version=5";
  private static final String REQUEST_SENT_LINE =
      "time=2026-01-01T00:00:02Z level=DEBUG event=WEIR-4002 title=\"Request sent\" subject=r1"
          + " process=entry-1 server=s1 outcome=Lost";
  private static final String REQUEST_ANSWERED_LINE =
      "time=2026-01-01T00:00:03Z level=DEBUG event=WEIR-4003 title=\"Request answered\" subject=r1"
          + " process=entry-1 status=502";
  private static final String OTHER_REQUEST_LINE =
      "time=2026-01-01T00:00:02Z level=DEBUG event=WEIR-4001 title=\"Request refused\" subject=r2"
          + " process=entry-2 reason=OVER_LIMIT status=429";

  @Test
  public void followsRequestAcrossFiles() throws IOException {
    assertEquals(
        run(
            "log",
            "--request",
            "r1",
            file(REQUEST_ANSWERED_LINE, FLEET_CHANGED_LINE),
            file("  12.5 host " + REQUEST_SENT_LINE, "noise")),
        List.of("known before: " + FLEET_CHANGED_LINE, REQUEST_SENT_LINE, REQUEST_ANSWERED_LINE));
  }

  @Test
  public void reportsUnknownRequest() throws IOException {
    assertEquals(
        run("log", "--request", "r9", file(REQUEST_ANSWERED_LINE)),
        List.of("no line names the request r9"));
  }

  @Test
  public void countsOutcomesWithoutRequest() throws IOException {
    assertEquals(
        run(
            "log",
            file(FLEET_CHANGED_LINE, REQUEST_SENT_LINE, REQUEST_ANSWERED_LINE, OTHER_REQUEST_LINE)),
        List.of(
            "     1 ended status=502",
            "     1 event WEIR-2201",
            "     1 refused reason=OVER_LIMIT",
            "     1 send outcome=Lost server=s1"));
  }

  private static String file(String... lines) throws IOException {
    Path file = Files.createTempFile("entry", ".log");
    file.toFile().deleteOnExit();
    return Files.write(file, List.of(lines)).toString();
  }

  private static List<String> run(String... arguments) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    PrintStream output = new PrintStream(bytes, true, StandardCharsets.UTF_8);
    ExitStatus status = new CommandLine(Map.of(), output, output).run(arguments);
    assertEquals(status, ExitStatus.OK);
    return bytes.toString(StandardCharsets.UTF_8).lines().toList();
  }
}

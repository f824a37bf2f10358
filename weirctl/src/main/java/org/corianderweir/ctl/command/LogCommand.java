package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.corianderweir.ctl.CommandException;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.ExitStatus;
import org.corianderweir.ctl.LocalCommand;

/**
 * Shows the log lines of a request from the logs of several processes, or counts the outcomes of
 * all requests.
 */
@Parameters(commandDescription = "follow a request through log files, or sum them up")
public final class LogCommand implements LocalCommand {
  private static final Pattern FIELD = Pattern.compile("([a-z][a-z-]*)=(\"[^\"]*\"|\\S*)");
  private static final String REQUEST_ANSWERED = "WEIR-4003";
  private static final String REQUEST_REFUSED = "WEIR-4001";
  private static final String REQUEST_SENT = "WEIR-4002";
  private static final String FLEET_CHANGED = "WEIR-2201";

  @Parameter(names = "--request", description = "identifier of the request to follow")
  private String request = "";

  @Parameter(description = "FILE...")
  private List<String> files = new ArrayList<>();

  /**
   * The result of the command.
   *
   * @param lines log lines of a request, ordered by time, or counts by outcome
   */
  public record Findings(List<String> lines) {}

  private record Line(String time, Map<String, String> fields, String text) {
    String field(String name) {
      return fields.getOrDefault(name, "");
    }
  }

  @Override
  public CommandResult run() {
    if (files.isEmpty()) {
      throw new CommandException(
          ExitStatus.USAGE, "usage", "no log file is named", "name the files to read");
    }
    List<Line> lines = new ArrayList<>();
    for (String file : files) {
      lines.addAll(read(Path.of(file)));
    }
    lines.sort(Comparator.comparing(Line::time));
    List<String> findings = request.isEmpty() ? summary(lines) : trace(lines);
    return new CommandResult(new Findings(findings), findings);
  }

  private static List<Line> read(Path file) {
    try (Stream<String> fileLines = Files.lines(file)) {
      return fileLines.map(LogCommand::parse).flatMap(Optional::stream).toList();
    } catch (IOException failure) {
      throw new CommandException(
          ExitStatus.FAILED, "unreadable", file + " can't be read", "check name and rights");
    }
  }

  /**
   * Parses a log line. Drops the text before the field {@code time}, which a log collector may have
   * added. Returns empty if the line has no such field.
   */
  private static Optional<Line> parse(String text) {
    int start = text.indexOf("time=");
    if (start < 0) {
      return Optional.empty();
    }
    Map<String, String> fields = new TreeMap<>();
    Matcher matcher = FIELD.matcher(text.substring(start));
    while (matcher.find()) {
      fields.put(matcher.group(1), matcher.group(2).replace("\"", ""));
    }
    String time = fields.getOrDefault("time", "");
    return Optional.of(new Line(time, fields, text.substring(start)));
  }

  /**
   * Returns the log lines of the request. A line is preceded by the latest fleet change that the
   * same process logged before it, unless that change already precedes an earlier line.
   */
  private List<String> trace(List<Line> lines) {
    List<String> trace = new ArrayList<>();
    Map<String, Line> lastFleetChange = new TreeMap<>();
    for (Line line : lines) {
      String process = line.field("process");
      if (line.field("event").equals(FLEET_CHANGED)) {
        lastFleetChange.put(process, line);
      }
      if (line.field("subject").equals(request)) {
        Line fleetChange = lastFleetChange.remove(process);
        if (fleetChange != null) {
          trace.add("known before: " + fleetChange.text());
        }
        trace.add(line.text());
      }
    }
    if (trace.isEmpty()) {
      trace.add("no line names the request " + request);
    }
    return trace;
  }

  private static List<String> summary(List<Line> lines) {
    Map<String, Integer> counts = new TreeMap<>();
    for (Line line : lines) {
      switch (line.field("event")) {
        case REQUEST_ANSWERED -> count(counts, "ended status=" + line.field("status"));
        case REQUEST_REFUSED -> count(counts, "refused reason=" + line.field("reason"));
        case REQUEST_SENT -> {
          if (!line.field("outcome").equals("Answered")) {
            String server = " server=" + line.field("server");
            count(counts, "send outcome=" + line.field("outcome") + server);
          }
        }
        default -> count(counts, "event " + line.field("event"));
      }
    }
    return counts.entrySet().stream()
        .map(entry -> "%6d %s".formatted(entry.getValue(), entry.getKey()))
        .toList();
  }

  private static void count(Map<String, Integer> counts, String outcome) {
    counts.merge(outcome, 1, Integer::sum);
  }
}

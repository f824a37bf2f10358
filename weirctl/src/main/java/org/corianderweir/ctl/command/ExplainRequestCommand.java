package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.corianderweir.ctl.CommandException;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.ExitStatus;
import org.corianderweir.ctl.GlobalOptions;
import org.corianderweir.ctl.MetricsPortCommand;
import org.corianderweir.ctl.TextTable;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.traffic.RequestKind;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.RequestSample;

/** Explains what an entry instance that runs with {@code --platform} would do with a request. */
@Parameters(
    commandDescription =
        "explain request: what an instance with --platform would do with a request, and why")
public final class ExplainRequestCommand implements MetricsPortCommand {
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final Pattern TOKEN = Pattern.compile("[A-Za-z0-9!#$%&'*+.^_`|~-]+");
  private static final Pattern PRINTABLE = Pattern.compile("[!-~]+");

  @Parameter(names = "--host", description = "host of the request", required = true)
  private String host = "";

  @Parameter(names = "--path", description = "path of the request", required = true)
  private String path = "";

  @Parameter(names = "--key", description = "access key; none if left out; it is never printed")
  private String key = "";

  @Parameter(names = "--object", description = "key of the object that the request concerns")
  private String object = "";

  @Parameter(names = "--region", description = "region of the caller; default: the instance's")
  private String region = "";

  @Parameter(names = "--method", description = "method of the request")
  private String method = "GET";

  @Parameter(names = "--body-bytes", description = "length of the body")
  private long bodyBytes;

  @Parameter(names = "--deadline", description = "milliseconds that the caller waits")
  private long deadlineMilliseconds = -1;

  @Parameter(
      names = "--at",
      description = "HOST:PORT of the metrics port of the instance; default: --instances")
  private String instance = "";

  @Override
  public CommandResult run(
      HttpClient client, GlobalOptions options, Map<String, String> environment) {
    HttpRequest request = request();
    List<HttpAddress> addresses =
        instance.isEmpty()
            ? options.addresses(environment)
            : List.of(GlobalOptions.parseAddress(instance));
    for (HttpAddress address : addresses) {
      Optional<HttpResponse> response = exchange(client, address, request, options);
      if (response.isPresent()) {
        return result(address, response.get());
      }
    }
    throw new CommandException(
        ExitStatus.UNREACHABLE,
        "unreachable",
        "no entry instance answers at "
            + addresses.stream().map(HttpAddress::toString).collect(Collectors.joining(", ")),
        "give the metrics port of a running instance with --at HOST:PORT");
  }

  private HttpRequest request() {
    require(PRINTABLE.matcher(host).matches(), "--host is not a host");
    require(PRINTABLE.matcher(path).matches() && path.startsWith("/"), "--path is not a path");
    require(key.isEmpty() || PRINTABLE.matcher(key).matches(), "--key is not printable ASCII");
    require(TOKEN.matcher(method).matches(), "--method is not a method");
    require(bodyBytes >= 0, "--body-bytes is negative");
    require(deadlineMilliseconds == -1 || deadlineMilliseconds > 0, "--deadline is not positive");
    RequestSample sample =
        new RequestSample(
            host,
            path.split("\\?", 2)[0],
            Optional.of(object).filter(text -> !text.isEmpty()),
            Optional.of(region).filter(text -> !text.isEmpty()),
            method,
            bodyBytes,
            Optional.of(deadlineMilliseconds).filter(deadline -> deadline > 0));
    String query =
        Json.toFields(sample).entrySet().stream()
            .map(
                field ->
                    field.getKey()
                        + '='
                        + URLEncoder.encode(field.getValue(), StandardCharsets.UTF_8))
            .collect(Collectors.joining("&"));
    HttpHeaders headers =
        key.isEmpty() ? HttpHeaders.NONE : HttpHeaders.NONE.with(RequestSample.KEY_HEADER, key);
    return new HttpRequest("GET", RequestSample.ENDPOINT_PATH + '?' + query, headers, new byte[0]);
  }

  private static Optional<HttpResponse> exchange(
      HttpClient client, HttpAddress address, HttpRequest request, GlobalOptions options) {
    try {
      return Optional.of(client.exchange(address, request, options.timeout()).join());
    } catch (CompletionException failure) {
      if (failure.getCause() instanceof WeirException) {
        return Optional.empty();
      }
      throw failure;
    }
  }

  private static CommandResult result(HttpAddress address, HttpResponse response) {
    if (response.status() == STATUS_OK) {
      RequestExplanation explanation = Json.read(response.bodyText(), RequestExplanation.class);
      return new CommandResult(explanation, lines(explanation));
    }
    if (response.status() == STATUS_BAD_REQUEST) {
      OperatorMessages.Failure failure =
          Json.read(response.bodyText(), OperatorMessages.Failure.class);
      throw usageError(failure.message());
    }
    throw new CommandException(
        ExitStatus.FAILED,
        "http-" + response.status(),
        address + " does not explain requests",
        "give the metrics port of an instance that runs with --platform");
  }

  /** Returns an explanation as text. */
  static List<String> lines(RequestExplanation explanation) {
    List<String> lines = new ArrayList<>();
    lines.add(
        "instance %s, region %s, configuration %d"
            .formatted(
                explanation.instance(), explanation.region(), explanation.configurationVersion()));
    explanation.route().ifPresent(route -> lines.add("route: " + route));
    explanation
        .route()
        .ifPresent(
            unused -> lines.add("organisation: " + explanation.organisation().orElse("none")));
    explanation.limit().ifPresent(limit -> lines.add("limit: " + describeLimit(limit)));
    explanation
        .kind()
        .ifPresent(
            kind ->
                lines.add(
                    "kind: %s, %s"
                        .formatted(
                            kind,
                            RequestKind.of(kind).mayRunAgain()
                                ? "may run again"
                                : "runs at most once")));
    explanation.priority().ifPresent(priority -> lines.add("priority: " + priority));
    lines.add("admission: " + explanation.admission());
    explanation.service().ifPresent(service -> lines.add("service: " + service));
    explanation
        .capacity()
        .ifPresent(capacity -> lines.add("capacity: " + describeCapacity(capacity)));
    explanation.scope().ifPresent(scope -> lines.add("servers (" + scope + "):"));
    if (!explanation.candidates().isEmpty()) {
      lines.addAll(table(explanation.candidates()));
    }
    lines.add("outcome: " + describeOutcome(explanation.outcome()));
    return lines;
  }

  private static String describeLimit(RequestExplanation.Limit limit) {
    return String.format(
        Locale.ROOT,
        "%.1f/s in the fleet, demand %.1f/s at %d instances, share of this instance %.1f%%, %s",
        limit.limitPerSecond(),
        limit.demandPerSecond(),
        limit.instances(),
        100 * limit.share(),
        limit.usedUp() ? "used up" : "not used up");
  }

  private static String describeCapacity(RequestExplanation.Capacity capacity) {
    return String.format(
        Locale.ROOT,
        "%s, answer expected in %s, of which %d ms wait at the server, allowed wait %d ms, "
            + "%.1f free slots, %.1f%% of recent answers late by waiting",
        capacity.cause(),
        capacity.expectedMilliseconds() > 0
            ? capacity.expectedMilliseconds() + " ms"
            : "an unknown time",
        capacity.expectedWaitMilliseconds(),
        capacity.allowedWaitMilliseconds(),
        capacity.freeSlots(),
        100 * capacity.lateShare());
  }

  private static List<String> table(List<RequestExplanation.Candidate> candidates) {
    TextTable table =
        new TextTable(
            "",
            "SERVER",
            "ZONE",
            "CONDITION",
            "LOAD",
            "SPEED",
            "LATENCY",
            "FAILING",
            "AGE",
            "EXPECTED",
            "REASON");
    for (RequestExplanation.Candidate candidate : candidates) {
      table.add(
          candidate.taken() ? "+" : "-",
          candidate.server(),
          candidate.zone(),
          candidate.condition(),
          String.format(Locale.ROOT, "%.1f of %d", candidate.load(), candidate.slots()),
          String.format(Locale.ROOT, "%.2f", candidate.speedRatio()),
          String.format(Locale.ROOT, "%.2f", candidate.latencyRatio()),
          String.format(Locale.ROOT, "%.2f", candidate.failureRatio()),
          candidate.reportAgeMilliseconds().map(age -> age + " ms").orElse("-"),
          candidate
              .expectedLatencyRatio()
              .map(ratio -> String.format(Locale.ROOT, "%.2f", ratio))
              .orElse("-"),
          candidate.reason());
    }
    return table.lines();
  }

  private static String describeOutcome(RequestExplanation.Outcome outcome) {
    if (outcome.server().isPresent()) {
      return "sent to " + outcome.server().get();
    }
    if (outcome.waitMilliseconds().isPresent()) {
      return "wait, at the latest until " + outcome.waitMilliseconds().get() + " ms from now";
    }
    return outcome
        .reason()
        .map(
            reason ->
                "rejected with %s, %s, retry after %d ms"
                    .formatted(
                        outcome.status().map(String::valueOf).orElse("a response"),
                        reason,
                        outcome.retryAfterMilliseconds().orElse(0L)))
        .orElse(outcome.decision());
  }

  private static void require(boolean valid, String problem) {
    if (!valid) {
      throw usageError(problem);
    }
  }

  private static CommandException usageError(String message) {
    return new CommandException(
        ExitStatus.USAGE, "usage", message, "look at 'weirctl explain request --help'");
  }
}

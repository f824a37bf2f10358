package org.corianderweir.ctl.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;
import org.corianderweir.ctl.CommandException;
import org.corianderweir.ctl.CommandResult;
import org.corianderweir.ctl.ExitStatus;
import org.corianderweir.ctl.GlobalOptions;
import org.corianderweir.ctl.MetricsPortCommand;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.protocol.operator.FleetListing;
import org.corianderweir.protocol.operator.RequestSample;

/** Explains what one entry instance, or each one of a fleet, would do with a request. */
@Parameters(
    commandDescription = "explain request: what an instance would do with a request, and why")
public final class ExplainRequestCommand implements MetricsPortCommand {
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
      description =
          "NAME of the instance, or HOST:PORT of its metrics port (with --platform) or operators'"
              + " port; default: the first of --instances that answers")
  private String instance = "";

  @Parameter(names = "--all", description = "ask all instances and show where they differ")
  private boolean all;

  @Override
  public CommandResult run(
      HttpClient client, GlobalOptions options, Map<String, String> environment) {
    require(!all || instance.isEmpty(), "--all and --at exclude each other");
    ExplainClient explainClient =
        new ExplainClient(client, options, environment, sample(), textOrEmpty(key));
    if (instance.contains(":")) {
      return explainAt(explainClient, List.of(GlobalOptions.parseAddress(instance)));
    }
    List<HttpAddress> addresses = options.addresses(environment);
    if (all) {
      return explainAtAll(explainClient, explainClient.list(addresses));
    }
    return instance.isEmpty()
        ? explainAt(explainClient, addresses)
        : explainAtInstance(explainClient, explainClient.list(addresses));
  }

  /** Asks the first instance that answers. */
  private static CommandResult explainAt(ExplainClient client, List<HttpAddress> addresses) {
    for (HttpAddress address : addresses) {
      ExplainAnswer answer = client.explain(address);
      if (!(answer instanceof ExplainAnswer.None)) {
        return result(address.toString(), answer);
      }
    }
    throw ExplainClient.unreachable(
        addresses, "give the address of a running instance with --at HOST:PORT");
  }

  private CommandResult explainAtInstance(ExplainClient client, FleetListing listing) {
    FleetListing.Entry entry =
        listing.instances().stream()
            .filter(candidate -> candidate.name().equals(instance))
            .findFirst()
            .orElseThrow(
                () ->
                    new CommandException(
                        ExitStatus.FAILED,
                        "instance-unknown",
                        listing.instance() + " knows no entry instance " + instance,
                        "look at the instances with --all"));
    return result(
        "%s at %s:%d".formatted(instance, entry.host(), entry.port()), client.explainListed(entry));
  }

  private static CommandResult explainAtAll(ExplainClient client, FleetListing listing) {
    FleetExplanation explanation = FleetExplanation.of(listing, client.explainAll(listing));
    Optional<String> badInput = explanation.badInput();
    if (badInput.isPresent()) {
      throw usageError(badInput.get());
    }
    return new CommandResult(
        explanation, FleetExplanationFormatter.lines(explanation), explanation.failure());
  }

  private static CommandResult result(String instance, ExplainAnswer answer) {
    return switch (answer) {
      case ExplainAnswer.Explained explained ->
          new CommandResult(
              explained.explanation(), ExplanationFormatter.lines(explained.explanation()));
      case ExplainAnswer.BadInput badInput -> throw usageError(badInput.message());
      case ExplainAnswer.None none ->
          throw new CommandException(
              ExitStatus.UNREACHABLE,
              "unreachable",
              instance + ": " + none.message(),
              "ask another instance, or look at the log of this one");
      case ExplainAnswer.Unusable unusable ->
          throw new CommandException(
              ExitStatus.FAILED,
              "answer-unusable",
              instance + ": " + unusable.message(),
              "give the metrics port of an instance with --platform, or the operators' port of one"
                  + " without, and compare the versions");
    };
  }

  private RequestSample sample() {
    require(PRINTABLE.matcher(host).matches(), "--host is not a host");
    require(PRINTABLE.matcher(path).matches() && path.startsWith("/"), "--path is not a path");
    require(key.isEmpty() || PRINTABLE.matcher(key).matches(), "--key is not printable ASCII");
    require(TOKEN.matcher(method).matches(), "--method is not a method");
    require(bodyBytes >= 0, "--body-bytes is negative");
    require(deadlineMilliseconds == -1 || deadlineMilliseconds > 0, "--deadline is not positive");
    return new RequestSample(
        host,
        path.split("\\?", 2)[0],
        textOrEmpty(object),
        textOrEmpty(region),
        method,
        bodyBytes,
        Optional.of(deadlineMilliseconds).filter(deadline -> deadline > 0));
  }

  private static Optional<String> textOrEmpty(String option) {
    return Optional.of(option).filter(text -> !text.isEmpty());
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

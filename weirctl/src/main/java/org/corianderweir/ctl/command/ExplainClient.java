package org.corianderweir.ctl.command;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.Semaphore;
import java.util.stream.Collectors;
import org.corianderweir.ctl.CommandContext;
import org.corianderweir.ctl.CommandException;
import org.corianderweir.ctl.ExitStatus;
import org.corianderweir.ctl.GlobalOptions;
import org.corianderweir.ctl.OperatorClient;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.logic.membership.Member;
import org.corianderweir.logic.traffic.RequestExplanation;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.ExplainMessages;
import org.corianderweir.protocol.operator.FleetListing;
import org.corianderweir.protocol.operator.Operation;
import org.corianderweir.protocol.operator.Operations;
import org.corianderweir.protocol.operator.RequestSample;

/** Asks entry instances for each other, and what they would do with a request. */
final class ExplainClient {
  /** Bounds the connections that are open at a time; a fleet has up to 2,700 instances. */
  private static final int CONCURRENT_REQUESTS = 64;

  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAUTHORISED = 401;

  private final HttpClient client;
  private final GlobalOptions options;
  private final Map<String, String> environment;
  private final RequestSample sample;
  private final Optional<String> key;
  private final HttpRequest explainRequest;

  /**
   * Creates a client.
   *
   * @param environment environment variables, of which one can have the operators' credential
   * @param key access key of the request; sent in a header field or in the body
   */
  ExplainClient(
      HttpClient client,
      GlobalOptions options,
      Map<String, String> environment,
      RequestSample sample,
      Optional<String> key) {
    this.client = client;
    this.options = options;
    this.environment = environment;
    this.sample = sample;
    this.key = key;
    String query =
        Json.toFields(sample).entrySet().stream()
            .map(
                field ->
                    field.getKey()
                        + '='
                        + URLEncoder.encode(field.getValue(), StandardCharsets.UTF_8))
            .collect(Collectors.joining("&"));
    HttpHeaders headers =
        key.map(text -> HttpHeaders.NONE.with(RequestSample.KEY_HEADER, text))
            .orElse(HttpHeaders.NONE);
    explainRequest =
        new HttpRequest("GET", RequestSample.ENDPOINT_PATH + '?' + query, headers, new byte[0]);
  }

  /**
   * Returns the instances that the first answering one of some addresses knows.
   *
   * @throws CommandException if none answers, or if the one that answers does not list instances
   */
  FleetListing list(List<HttpAddress> addresses) {
    HttpRequest request = HttpRequest.of("GET", FleetListing.ENDPOINT_PATH);
    for (HttpAddress address : addresses) {
      try {
        HttpResponse response = client.exchange(address, request, options.timeout()).join();
        return listing(address, response);
      } catch (CompletionException failure) {
        if (!(failure.getCause() instanceof WeirException)) {
          throw failure;
        }
      }
    }
    throw unreachable(addresses, "check the addresses, or name further instances with --instances");
  }

  /** Creates the failure that no instance answers at some addresses. */
  static CommandException unreachable(List<HttpAddress> addresses, String nextStep) {
    return new CommandException(
        ExitStatus.UNREACHABLE,
        "unreachable",
        "no entry instance answers at "
            + addresses.stream().map(HttpAddress::toString).collect(Collectors.joining(", ")),
        nextStep);
  }

  private FleetListing listing(HttpAddress address, HttpResponse response) {
    if (response.status() == STATUS_UNAUTHORISED) {
      return listByOperatorsInterface(address);
    }
    if (response.status() != STATUS_OK) {
      throw new CommandException(
          ExitStatus.FAILED,
          "http-" + response.status(),
          address + " does not list instances",
          "give the metrics port of an instance that runs with --platform");
    }
    try {
      return Json.readOtherVersion(response.bodyText(), FleetListing.class);
    } catch (WeirException malformed) {
      throw new CommandException(
          ExitStatus.FAILED,
          "answer-unusable",
          address + ": " + malformed.getMessage(),
          "compare the versions of weirctl and of the entry instances");
    }
  }

  /** Lists the instances of a fleet without {@code --platform}, with their operators' ports. */
  private FleetListing listByOperatorsInterface(HttpAddress address) {
    OperatorClient operatorClient =
        new OperatorClient(
            client, List.of(address), options.credential(environment), options.timeout());
    CommandContext context = new CommandContext(operatorClient, options);
    OperatorMessages.Status status = context.read(Operations.STATUS);
    return new FleetListing(
        status.name(),
        status.revision(),
        FleetMembers.all(context).stream()
            .map(Member::instance)
            .map(
                instance ->
                    new FleetListing.Entry(
                        instance.name(),
                        instance.region(),
                        instance.availabilityZone(),
                        instance.host(),
                        instance.operatorPort()))
            .toList());
  }

  /**
   * Asks one instance. A metrics port needs no credential; a port that rejects the request for the
   * lack of one is an operators' port, and is asked by the operators' interface.
   */
  ExplainAnswer explain(HttpAddress address) {
    return await(ask(address));
  }

  private CompletableFuture<ExplainAnswer> ask(HttpAddress address) {
    return client
        .exchange(address, explainRequest, options.timeout())
        .thenCompose(
            response ->
                response.status() == STATUS_UNAUTHORISED
                    ? client.exchange(address, operatorsRequest(), options.timeout())
                    : CompletableFuture.completedFuture(response))
        .handle(
            (response, failure) -> {
              if (failure == null) {
                return answer(response);
              }
              Throwable cause = WeirException.unwrap(failure);
              if (cause instanceof WeirException) {
                return new ExplainAnswer.None("no answer: " + cause.getMessage());
              }
              throw new CompletionException(cause);
            });
  }

  private HttpRequest operatorsRequest() {
    return new HttpRequest(
        Operations.EXPLAIN_REQUEST.method(),
        Operations.EXPLAIN_REQUEST.path(),
        HttpHeaders.NONE.with(Operation.CREDENTIAL_HEADER, options.credential(environment)),
        Json.write(new ExplainMessages.ExplainedRequest(sample, key))
            .getBytes(StandardCharsets.UTF_8));
  }

  /** Asks a listed instance. An answer under another name, as of another process, is not usable. */
  ExplainAnswer explainListed(FleetListing.Entry entry) {
    return await(askListed(entry));
  }

  private CompletableFuture<ExplainAnswer> askListed(FleetListing.Entry entry) {
    return ask(new HttpAddress(entry.host(), entry.port()))
        .thenApply(
            answer ->
                answer instanceof ExplainAnswer.Explained explained
                        && !explained.explanation().instance().equals(entry.name())
                    ? new ExplainAnswer.Unusable("answers as " + explained.explanation().instance())
                    : answer);
  }

  /** Asks all listed instances and returns their answers in the order of the list. */
  List<ExplainAnswer> explainAll(FleetListing listing) {
    Semaphore permits = new Semaphore(CONCURRENT_REQUESTS);
    List<CompletableFuture<ExplainAnswer>> answers = new ArrayList<>();
    for (FleetListing.Entry entry : listing.instances()) {
      permits.acquireUninterruptibly();
      answers.add(askListed(entry).whenComplete((answer, failure) -> permits.release()));
    }
    return answers.stream().map(ExplainClient::await).toList();
  }

  /** Returns an answer, or throws what the command reports, as that there is no credential. */
  private static ExplainAnswer await(CompletableFuture<ExplainAnswer> answer) {
    try {
      return answer.join();
    } catch (CompletionException failure) {
      throw failure.getCause() instanceof CommandException reported ? reported : failure;
    }
  }

  private static ExplainAnswer answer(HttpResponse response) {
    try {
      return switch (response.status()) {
        case STATUS_OK ->
            new ExplainAnswer.Explained(
                Json.readOtherVersion(response.bodyText(), RequestExplanation.class));
        case STATUS_BAD_REQUEST ->
            new ExplainAnswer.BadInput(
                Json.readOtherVersion(response.bodyText(), OperatorMessages.Failure.class)
                    .message());
        case STATUS_UNAUTHORISED ->
            new ExplainAnswer.Unusable("the operators' credential is wrong");
        default -> new ExplainAnswer.Unusable("status " + response.status());
      };
    } catch (WeirException malformed) {
      return new ExplainAnswer.Unusable(String.valueOf(malformed.getMessage()));
    }
  }
}

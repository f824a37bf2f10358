package org.corianderweir.ctl;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.stream.Collectors;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.protocol.Json;
import org.corianderweir.protocol.OperatorMessages;
import org.corianderweir.protocol.operator.Operation;

/**
 * Calls the operators' interface of the first entry instance that answers and is not isolated. If
 * an instance does not answer, a read or a dry run is sent to the next instance, but a change only
 * if the connection could not be opened, because then it can't have been received. Otherwise the
 * outcome of the change is unknown.
 */
public final class OperatorClient {
  private static final int STATUS_OK = 200;
  private static final int STATUS_BAD_REQUEST = 400;
  private static final int STATUS_UNAUTHORISED = 401;
  private static final int STATUS_CONFLICT = 409;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final byte[] NO_BODY = new byte[0];

  private final HttpClient httpClient;
  private final List<HttpAddress> addresses;
  private final String credential;
  private final Duration timeout;
  private int preferredIndex;

  /**
   * Creates a client.
   *
   * @param httpClient HTTP client that has been started
   * @param addresses addresses of operators' interfaces, at least one
   * @param credential the operators' credential
   * @param timeout longest wait for the response of one entry instance
   */
  public OperatorClient(
      HttpClient httpClient, List<HttpAddress> addresses, String credential, Duration timeout) {
    this.httpClient = httpClient;
    this.addresses = List.copyOf(addresses);
    this.credential = credential;
    this.timeout = timeout;
  }

  /** Returns a client that calls only one entry instance, with the same credential and timeout. */
  public OperatorClient forInstance(HttpAddress address) {
    return new OperatorClient(httpClient, List.of(address), credential, timeout);
  }

  /**
   * Runs an operation that changes nothing.
   *
   * @throws CommandException if the operation fails or no entry instance answers
   */
  public <Q extends Record, A> A read(Operation<Q, A> operation, Q request) {
    return Json.read(call(operation, request, Map.of(), true).bodyText(), operation.answerType());
  }

  /**
   * Makes a change.
   *
   * @param operation the operation that makes the change
   * @param request request of the operation
   * @param parameters query parameters of the change
   * @throws CommandException if the change is rejected, if no entry instance answers, or if the
   *     outcome is unknown
   */
  public <Q extends Record, A> A write(
      Operation<Q, A> operation, Q request, Map<String, String> parameters) {
    return Json.read(
        call(operation, request, parameters, false).bodyText(), operation.answerType());
  }

  /**
   * Returns a report of the effect of a change without applying it.
   *
   * @throws CommandException if the operation fails or no entry instance answers
   */
  public <Q extends Record, A, R> R dryRun(
      Operation<Q, A> operation, Q request, Map<String, String> parameters, Class<R> reportType) {
    return Json.read(call(operation, request, parameters, true).bodyText(), reportType);
  }

  private <Q extends Record> HttpResponse call(
      Operation<Q, ?> operation, Q request, Map<String, String> parameters, boolean idempotent) {
    boolean hasBody =
        !operation.method().equals("GET") && !(request instanceof Operation.NoRequest);
    byte[] body = hasBody ? Json.write(request).getBytes(StandardCharsets.UTF_8) : NO_BODY;
    Map<String, String> queryParameters = new LinkedHashMap<>(parameters);
    if (!hasBody) {
      queryParameters.putAll(Json.toFields(request));
    }
    HttpRequest httpRequest =
        new HttpRequest(
            operation.method(),
            operation.path() + queryString(queryParameters),
            HttpHeaders.NONE.with(Operation.CREDENTIAL_HEADER, credential),
            body);
    for (int attempt = 0; attempt < addresses.size(); attempt++) {
      HttpAddress address = addresses.get(preferredIndex);
      try {
        HttpResponse response = httpClient.exchange(address, httpRequest, timeout).join();
        if (!isIsolated(response)) {
          return requireSuccess(response);
        }
        preferredIndex = (preferredIndex + 1) % addresses.size();
      } catch (CompletionException failure) {
        requireRetryable(failure, address, idempotent);
        preferredIndex = (preferredIndex + 1) % addresses.size();
      }
    }
    throw new CommandException(
        ExitStatus.UNREACHABLE,
        "unreachable",
        "no entry instance answers, or all are cut off, at "
            + addresses.stream().map(HttpAddress::toString).collect(Collectors.joining(", ")),
        "check the addresses, or name further instances with --instances");
  }

  /**
   * Returns whether the instance is isolated. An instance that hears no other instance of its zone
   * accepts no changes, but another instance may accept them.
   */
  private static boolean isIsolated(HttpResponse response) {
    return response.status() == STATUS_UNAVAILABLE
        && parseFailure(response).code().equals(ErrorCode.INSTANCE_ISOLATED.name());
  }

  private static void requireRetryable(
      CompletionException failure, HttpAddress address, boolean idempotent) {
    boolean notSent =
        failure.getCause() instanceof WeirException typed
            && typed.code() == ErrorCode.CONNECT_FAILED;
    if (!idempotent && !notSent) {
      throw new CommandException(
          ExitStatus.FAILED,
          "outcome-unknown",
          address + " did not answer; the change may have been accepted",
          "look at 'weirctl config history' before you repeat it");
    }
  }

  private static HttpResponse requireSuccess(HttpResponse response) {
    if (response.status() == STATUS_OK) {
      return response;
    }
    OperatorMessages.Failure failure = parseFailure(response);
    throw switch (response.status()) {
      case STATUS_CONFLICT ->
          new CommandException(
              ExitStatus.CONFLICT,
              failure.code(),
              failure.message(),
              "look at 'weirctl config diff', then repeat the change on the new revision");
      case STATUS_BAD_REQUEST ->
          new CommandException(
              ExitStatus.INVALID,
              failure.code(),
              failure.message(),
              "correct the change; nothing was applied");
      case STATUS_UNAUTHORISED ->
          new CommandException(
              ExitStatus.FAILED,
              failure.code(),
              failure.message(),
              "check the credential against the settings of the entry instance");
      default ->
          new CommandException(
              ExitStatus.FAILED,
              failure.code(),
              failure.message(),
              "look at the log of the entry instance and at 'weirctl timeline'");
    };
  }

  private static OperatorMessages.Failure parseFailure(HttpResponse response) {
    try {
      return Json.read(response.bodyText(), OperatorMessages.Failure.class);
    } catch (WeirException notJson) {
      return new OperatorMessages.Failure("http-" + response.status(), response.bodyText());
    }
  }

  private static String queryString(Map<String, String> parameters) {
    if (parameters.isEmpty()) {
      return "";
    }
    return parameters.entrySet().stream()
        .map(
            entry ->
                entry.getKey() + "=" + URLEncoder.encode(entry.getValue(), StandardCharsets.UTF_8))
        .collect(Collectors.joining("&", "?", ""));
  }
}

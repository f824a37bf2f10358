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
 * Calls the operators' interface of the first entry instance that answers. A read, and a change
 * that names its operation, go on to the next instance after any failure of the connection; another
 * change only while it can't have been sent.
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
   * @param httpClient started HTTP client
   * @param addresses operators' interfaces, at least one
   */
  public OperatorClient(
      HttpClient httpClient, List<HttpAddress> addresses, String credential, Duration timeout) {
    this.httpClient = httpClient;
    this.addresses = List.copyOf(addresses);
    this.credential = credential;
    this.timeout = timeout;
  }

  /** Returns a client of one entry instance with the same credential. */
  public OperatorClient forInstance(HttpAddress address) {
    return new OperatorClient(httpClient, List.of(address), credential, timeout);
  }

  /** Asks for something that changes nothing. */
  public <Q extends Record, A> A read(Operation<Q, A> operation, Q request) {
    return Json.read(call(operation, request, Map.of(), true).bodyText(), operation.answerType());
  }

  /** Makes a change; one whose options name the operation may be sent again. */
  public <Q extends Record, A> A write(
      Operation<Q, A> operation, Q request, Map<String, String> options) {
    return Json.read(call(operation, request, options, false).bodyText(), operation.answerType());
  }

  /** Asks what a change would do. */
  public <Q extends Record, A, R> R dryRun(
      Operation<Q, A> operation, Q request, Map<String, String> options, Class<R> reportType) {
    return Json.read(call(operation, request, options, true).bodyText(), reportType);
  }

  private <Q extends Record> HttpResponse call(
      Operation<Q, ?> operation, Q request, Map<String, String> options, boolean idempotent) {
    boolean hasBody =
        !operation.method().equals("GET") && !(request instanceof Operation.NoRequest);
    byte[] body = hasBody ? Json.write(request).getBytes(StandardCharsets.UTF_8) : NO_BODY;
    Map<String, String> parameters = new LinkedHashMap<>(options);
    if (!hasBody) {
      parameters.putAll(Json.toFields(request));
    }
    HttpRequest call =
        new HttpRequest(
            operation.method(),
            operation.path() + queryString(parameters),
            HttpHeaders.NONE.with(Operation.CREDENTIAL_HEADER, credential),
            body);
    for (int attempt = 0; attempt < addresses.size(); attempt++) {
      HttpAddress address = addresses.get(preferredIndex);
      try {
        HttpResponse reply = httpClient.exchange(address, call, timeout).join();
        if (!isIsolated(reply)) {
          return requireSuccess(reply);
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

  /** An instance that hears nobody of its zone accepts no changes; another one may. */
  private static boolean isIsolated(HttpResponse reply) {
    return reply.status() == STATUS_UNAVAILABLE
        && parseFailure(reply).code().equals(ErrorCode.INSTANCE_ISOLATED.name());
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

  private static HttpResponse requireSuccess(HttpResponse reply) {
    if (reply.status() == STATUS_OK) {
      return reply;
    }
    OperatorMessages.Failure failure = parseFailure(reply);
    throw switch (reply.status()) {
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

  private static OperatorMessages.Failure parseFailure(HttpResponse reply) {
    try {
      return Json.read(reply.bodyText(), OperatorMessages.Failure.class);
    } catch (WeirException notJson) {
      return new OperatorMessages.Failure("http-" + reply.status(), reply.bodyText());
    }
  }

  private static String queryString(Map<String, String> options) {
    if (options.isEmpty()) {
      return "";
    }
    return options.entrySet().stream()
        .map(
            entry ->
                entry.getKey() + "=" + URLEncoder.encode(entry.getValue(), StandardCharsets.UTF_8))
        .collect(Collectors.joining("&", "?", ""));
  }
}

package org.corianderweir.daemon.traffic;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.kernel.TimeSource;
import org.corianderweir.logic.delivery.Claim;
import org.corianderweir.logic.delivery.IdentifierDecision;
import org.corianderweir.logic.delivery.IdentifierIssuer;
import org.corianderweir.logic.delivery.RequestIdentifier;
import org.corianderweir.logic.delivery.RunOnceRegistry;
import org.corianderweir.model.request.Execution;
import org.corianderweir.model.request.RefusalReason;
import org.corianderweir.protocol.Json;

/**
 * Makes sure that a request with an identifier runs at most once. If this process issued the
 * identifier, the request runs here; otherwise it is forwarded to the issuer. A repeated request
 * gets the response of the first one.
 */
final class RunOnceGate {
  /** Path at which callers get identifiers. */
  static final String ISSUE_PATH = "/.weir/request-identifier";

  /** Time for which an identifier may be used; outcomes are kept for the same time. */
  static final Duration IDENTIFIER_LIFETIME = Duration.ofMinutes(2);

  private static final int MAXIMUM_STORED_OUTCOMES = 32_768;
  private static final int STORED_BODY_LIMIT_BYTES = 1024;
  private static final int ISSUE_BATCH_LIMIT = 100;
  private static final int SECRET_BYTES = 32;
  private static final int STATUS_OK = 200;

  private final IdentifierIssuer issuer;
  private final RunOnceRegistry<CompletableFuture<HttpResponse>> registry =
      new RunOnceRegistry<>(MAXIMUM_STORED_OUTCOMES);
  private final IssuerForwarder forwarder;
  private final Refusals refusals;
  private final TimeSource time;

  /**
   * Identifiers that are issued to a caller.
   *
   * @param identifiers identifiers, each for one request that is not idempotent
   * @param lifetimeMilliseconds time for which they may be used
   */
  record Issued(List<String> identifiers, long lifetimeMilliseconds) {}

  RunOnceGate(String instance, IssuerForwarder forwarder, Refusals refusals, TimeSource time) {
    SecureRandom random = new SecureRandom();
    byte[] secret = new byte[SECRET_BYTES];
    random.nextBytes(secret);
    this.issuer =
        new IdentifierIssuer(
            instance,
            random.nextLong(Long.MAX_VALUE),
            secret,
            IDENTIFIER_LIFETIME,
            time.monotonicNanoseconds());
    this.forwarder = forwarder;
    this.refusals = refusals;
    this.time = time;
  }

  /** Issues the identifiers that a caller requests. */
  HttpResponse issue(HttpRequest request) {
    int requestedCount;
    try {
      requestedCount = Integer.parseInt(request.parameter("count", "1"));
    } catch (NumberFormatException notANumber) {
      requestedCount = 0;
    }
    if (requestedCount < 1 || requestedCount > ISSUE_BATCH_LIMIT) {
      return refusals.refuse(
          ISSUE_PATH, RefusalReason.REQUEST_INVALID, "count must be 1 to " + ISSUE_BATCH_LIMIT);
    }
    List<String> identifiers = new ArrayList<>();
    for (int count = 0; count < requestedCount; count++) {
      identifiers.add(issuer.issue(time.monotonicNanoseconds()).text());
    }
    return HttpResponse.json(
        STATUS_OK, Json.write(new Issued(identifiers, IDENTIFIER_LIFETIME.toMillis())));
  }

  /** Returns whether a request that is refused before its identifier is claimed may have run. */
  Execution knownExecution(Optional<RequestIdentifier> identifier) {
    if (identifier.isEmpty()) {
      return Execution.NOT_RUN;
    }
    return switch (issuer.verify(identifier.get(), time.monotonicNanoseconds())) {
      case IdentifierDecision.Forged forged -> Execution.NOT_RUN;
      case IdentifierDecision.Own own when !registry.mayHaveRun(identifier.get()) ->
          Execution.NOT_RUN;
      default -> Execution.UNKNOWN;
    };
  }

  /**
   * Handles a request with an identifier.
   *
   * @param run runs the request; called only if the request may run on this entry instance
   */
  CompletableFuture<HttpResponse> handle(
      RequestContext context,
      RequestIdentifier identifier,
      Function<RequestContext, CompletableFuture<HttpResponse>> run) {
    return switch (issuer.verify(identifier, time.monotonicNanoseconds())) {
      case IdentifierDecision.Own own -> claim(context, identifier, run);
      case IdentifierDecision.Foreign foreign -> forwarder.forward(context, identifier);
      case IdentifierDecision.Expired expired ->
          refuseOutcomeUnknown(context, "the identifier has expired; its outcome may be forgotten");
      case IdentifierDecision.Forged forged ->
          completed(
              refusals.refuse(
                  context.name(),
                  RefusalReason.IDENTIFIER_INVALID,
                  "this entry instance did not issue the identifier"));
    };
  }

  private CompletableFuture<HttpResponse> claim(
      RequestContext context,
      RequestIdentifier identifier,
      Function<RequestContext, CompletableFuture<HttpResponse>> run) {
    Claim<CompletableFuture<HttpResponse>> claim =
        registry.claim(
            identifier,
            requestDigest(context),
            issuer.elapsedMilliseconds(time.monotonicNanoseconds()),
            CompletableFuture::new);
    return switch (claim) {
      case Claim.Granted<CompletableFuture<HttpResponse>>(
              CompletableFuture<HttpResponse> outcome) ->
          runFirst(context, identifier, run, outcome);
      case Claim.Duplicate<CompletableFuture<HttpResponse>>(
              CompletableFuture<HttpResponse> outcome) ->
          outcome.copy();
      case Claim.Expired<CompletableFuture<HttpResponse>> expired ->
          refuseOutcomeUnknown(context, "the identifier has expired; its outcome may be forgotten");
      case Claim.ContentMismatch<CompletableFuture<HttpResponse>> mismatch ->
          completed(
              refusals.refuse(
                  context.name(),
                  RefusalReason.IDENTIFIER_INVALID,
                  Execution.UNKNOWN,
                  "the identifier was used for another request"));
      case Claim.CapacityExceeded<CompletableFuture<HttpResponse>> exceeded ->
          completed(
              refusals.refuse(
                  context.name(), RefusalReason.NO_CAPACITY, "too many outcomes are kept"));
    };
  }

  /**
   * Runs a request for the first time. The request goes on when its caller disconnects, because the
   * caller may be about to repeat it.
   */
  private CompletableFuture<HttpResponse> runFirst(
      RequestContext context,
      RequestIdentifier identifier,
      Function<RequestContext, CompletableFuture<HttpResponse>> run,
      CompletableFuture<HttpResponse> outcome) {
    CompletableFuture<HttpResponse> first = new CompletableFuture<>();
    CompletableFuture<HttpResponse> running;
    try {
      running = run.apply(context);
    } catch (RuntimeException failure) {
      running = CompletableFuture.failedFuture(failure);
    }
    running.whenComplete(
        (response, failure) -> {
          HttpResponse known =
              failure == null
                  ? response
                  : refusals.refuse(
                      context.name(), RefusalReason.OUTCOME_UNKNOWN, String.valueOf(failure));
          if (Refusals.isNotRun(known)) {
            registry.release(identifier);
          }
          outcome.complete(storableOutcome(context, known));
          first.complete(known);
        });
    return first;
  }

  /**
   * Returns the response that repeated requests get. A large response is not stored; a repeated
   * request then learns only that the first one may have run.
   */
  private HttpResponse storableOutcome(RequestContext context, HttpResponse response) {
    if (response.body().length <= STORED_BODY_LIMIT_BYTES) {
      return response;
    }
    return refusals.refuse(
        context.name(),
        RefusalReason.OUTCOME_UNKNOWN,
        "it was answered with status " + response.status() + "; the answer was too large to keep");
  }

  private CompletableFuture<HttpResponse> refuseOutcomeUnknown(
      RequestContext context, String message) {
    return completed(refusals.refuse(context.name(), RefusalReason.OUTCOME_UNKNOWN, message));
  }

  private static CompletableFuture<HttpResponse> completed(HttpResponse response) {
    return CompletableFuture.completedFuture(response);
  }

  /** Returns a digest of the organisation, method, target and body of a request. */
  private static String requestDigest(RequestContext context) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      String head =
          String.join(
              "\n",
              context.organisation().orElse(""),
              context.request().method(),
              context.request().target(),
              "");
      digest.update(head.getBytes(StandardCharsets.UTF_8));
      digest.update(context.request().body());
      return Base64.getEncoder().encodeToString(digest.digest());
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }
}

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
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpReply;
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
 * Lets a request with an identifier run once: here if this process issued the identifier, else the
 * request is handed to the issuer. A repetition gets the answer of the first one.
 */
final class RunOnceGate {
  /** The path at which callers get identifiers. */
  static final String ISSUE_PATH = "/.weir/request-identifier";

  /** How long an identifier may be used, and so how long outcomes are kept. */
  static final Duration IDENTIFIER_LIFETIME = Duration.ofMinutes(2);

  private static final int OUTCOMES_KEPT = 32_768;
  private static final int KEPT_BODY_LIMIT_BYTES = 1024;
  private static final int ISSUED_AT_ONCE_LIMIT = 100;
  private static final int SECRET_BYTES = 32;
  private static final int STATUS_OK = 200;

  private final IdentifierIssuer issuer;
  private final RunOnceRegistry<CompletableFuture<HttpReply>> registry =
      new RunOnceRegistry<>(OUTCOMES_KEPT);
  private final IssuerForwarder forwarder;
  private final Refusals refusals;
  private final TimeSource time;

  /**
   * Identifiers for a caller.
   *
   * @param identifiers each for one request that is not idempotent
   * @param lifetimeMilliseconds how long they may be used
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

  /** Answers a request for identifiers. */
  HttpReply issue(HttpCall call) {
    int wanted;
    try {
      wanted = Integer.parseInt(call.parameter("count", "1"));
    } catch (NumberFormatException notANumber) {
      wanted = 0;
    }
    if (wanted < 1 || wanted > ISSUED_AT_ONCE_LIMIT) {
      return refusals.refuse(
          ISSUE_PATH, RefusalReason.REQUEST_INVALID, "count must be 1 to " + ISSUED_AT_ONCE_LIMIT);
    }
    List<String> identifiers = new ArrayList<>();
    for (int count = 0; count < wanted; count++) {
      identifiers.add(issuer.issue(time.monotonicNanoseconds()).text());
    }
    return HttpReply.json(
        STATUS_OK, Json.write(new Issued(identifiers, IDENTIFIER_LIFETIME.toMillis())));
  }

  /** Returns what can be said of a request that is refused before it is claimed. */
  Execution executionSoFar(Optional<RequestIdentifier> identifier) {
    if (identifier.isEmpty()) {
      return Execution.NOT_RUN;
    }
    return switch (issuer.judge(identifier.get(), time.monotonicNanoseconds())) {
      case IdentifierDecision.Forged forged -> Execution.NOT_RUN;
      case IdentifierDecision.Own own when !registry.mayHaveRun(identifier.get()) ->
          Execution.NOT_RUN;
      default -> Execution.UNKNOWN;
    };
  }

  /** Answers a request with an identifier; it runs by the function given, if it may run here. */
  CompletableFuture<HttpReply> answer(
      RequestContext context,
      RequestIdentifier identifier,
      Function<RequestContext, CompletableFuture<HttpReply>> run) {
    return switch (issuer.judge(identifier, time.monotonicNanoseconds())) {
      case IdentifierDecision.Own own -> claim(context, identifier, run);
      case IdentifierDecision.Foreign foreign -> forwarder.forward(context, identifier);
      case IdentifierDecision.Expired expired ->
          unknown(context, "the identifier has expired; its outcome may be forgotten");
      case IdentifierDecision.Forged forged ->
          done(
              refusals.refuse(
                  context.name(),
                  RefusalReason.IDENTIFIER_INVALID,
                  "this entry instance did not issue the identifier"));
    };
  }

  private CompletableFuture<HttpReply> claim(
      RequestContext context,
      RequestIdentifier identifier,
      Function<RequestContext, CompletableFuture<HttpReply>> run) {
    Claim<CompletableFuture<HttpReply>> claim =
        registry.claim(
            identifier,
            content(context),
            issuer.milliseconds(time.monotonicNanoseconds()),
            CompletableFuture::new);
    return switch (claim) {
      case Claim.Granted<CompletableFuture<HttpReply>>(CompletableFuture<HttpReply> outcome) ->
          runFirst(context, identifier, run, outcome);
      case Claim.Known<CompletableFuture<HttpReply>>(CompletableFuture<HttpReply> outcome) ->
          outcome.copy();
      case Claim.Expired<CompletableFuture<HttpReply>> expired ->
          unknown(context, "the identifier has expired; its outcome may be forgotten");
      case Claim.OtherContent<CompletableFuture<HttpReply>> other ->
          done(
              refusals.refuse(
                  context.name(),
                  RefusalReason.IDENTIFIER_INVALID,
                  Execution.UNKNOWN,
                  "the identifier was used for another request"));
      case Claim.Full<CompletableFuture<HttpReply>> full ->
          done(
              refusals.refuse(
                  context.name(), RefusalReason.NO_CAPACITY, "too many outcomes are kept"));
    };
  }

  /** The caller that goes away doesn't cancel the request: it may be about to repeat it. */
  private CompletableFuture<HttpReply> runFirst(
      RequestContext context,
      RequestIdentifier identifier,
      Function<RequestContext, CompletableFuture<HttpReply>> run,
      CompletableFuture<HttpReply> outcome) {
    CompletableFuture<HttpReply> first = new CompletableFuture<>();
    CompletableFuture<HttpReply> running;
    try {
      running = run.apply(context);
    } catch (RuntimeException failure) {
      running = CompletableFuture.failedFuture(failure);
    }
    running.whenComplete(
        (reply, failure) -> {
          HttpReply known =
              failure == null
                  ? reply
                  : refusals.refuse(
                      context.name(), RefusalReason.OUTCOME_UNKNOWN, String.valueOf(failure));
          if (Refusals.isNotRun(known)) {
            registry.release(identifier);
          }
          outcome.complete(kept(context, known));
          first.complete(known);
        });
    return first;
  }

  /** A large answer isn't kept: whoever repeats learns only that the request may have run. */
  private HttpReply kept(RequestContext context, HttpReply reply) {
    if (reply.body().length <= KEPT_BODY_LIMIT_BYTES) {
      return reply;
    }
    return refusals.refuse(
        context.name(),
        RefusalReason.OUTCOME_UNKNOWN,
        "it was answered with status " + reply.status() + "; the answer was too large to keep");
  }

  private CompletableFuture<HttpReply> unknown(RequestContext context, String message) {
    return done(refusals.refuse(context.name(), RefusalReason.OUTCOME_UNKNOWN, message));
  }

  private static CompletableFuture<HttpReply> done(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }

  /** Returns a digest of who asks for what. */
  private static String content(RequestContext context) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      String head =
          String.join(
              "\n",
              context.organisation().orElse(""),
              context.call().method(),
              context.call().target(),
              "");
      digest.update(head.getBytes(StandardCharsets.UTF_8));
      digest.update(context.call().body());
      return Base64.getEncoder().encodeToString(digest.digest());
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException(impossible);
    }
  }
}

package org.corianderweir.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.daemon.traffic.CallerHeaders;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpReply;
import org.corianderweir.model.request.LookupAnswer;
import org.corianderweir.model.topology.EntryInstance;

/**
 * The callers of one availability zone: they ask which entry instances to use, cache the answer, go
 * on to the next instance if one can't be reached, and repeat a request whose outcome is not known
 * with the same identifier at another instance.
 */
final class SteeredSender implements RequestSender {
  private static final Duration DEADLINE = Duration.ofSeconds(4);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(6);
  private static final long REPEAT_DELAY_MILLISECONDS = 300;
  private static final int ATTEMPTS = 3;
  private static final byte[] NO_BODY = new byte[0];

  private final HttpClient client;
  private final String clientPrefix;
  private final LookupCache lookups;
  private final IdentifierSource identifiers;
  private final CallerKeys keys;
  private final CallJournal journal;
  private final AtomicInteger pending = new AtomicInteger();

  private record Request(
      Arrival arrival,
      long intendedNanoseconds,
      String identifier,
      CallerKeys.CallerKey key,
      List<LookupAnswer.Endpoint> endpoints) {}

  SteeredSender(
      HttpClient client,
      String zone,
      String clientPrefix,
      List<EntryInstance> known,
      String identifierPrefix,
      CallerKeys keys,
      CallJournal journal) {
    this.client = client;
    this.clientPrefix = clientPrefix;
    lookups = new LookupCache(client, zone, known);
    identifiers = new IdentifierSource(client, identifierPrefix);
    this.keys = keys;
    this.journal = journal;
  }

  @Override
  public void send(Arrival arrival, long intendedNanoseconds) {
    pending.incrementAndGet();
    lookups
        .endpoints(clientPrefix + arrival.clientNumber())
        .thenCompose(endpoints -> prepare(arrival, intendedNanoseconds, endpoints))
        .thenCompose(request -> attempt(request, 1, 0))
        .whenComplete(
            (done, failure) -> {
              if (failure != null) {
                journal.add(nobodyToAsk(arrival, intendedNanoseconds));
              }
              pending.decrementAndGet();
            });
  }

  @Override
  public int pending() {
    return pending.get();
  }

  private CompletableFuture<Request> prepare(
      Arrival arrival, long intendedNanoseconds, List<LookupAnswer.Endpoint> endpoints) {
    CallerKeys.CallerKey key = keys.of(arrival.organisation());
    if (arrival.route().idempotent() || endpoints.isEmpty()) {
      return CompletableFuture.completedFuture(
          new Request(arrival, intendedNanoseconds, identifiers.own(), key, endpoints));
    }
    return issued(endpoints, 0)
        .thenApply(
            identifier -> new Request(arrival, intendedNanoseconds, identifier, key, endpoints));
  }

  private CompletableFuture<String> issued(List<LookupAnswer.Endpoint> endpoints, int index) {
    CompletableFuture<String> identifier = identifiers.issued(address(endpoints.get(index)));
    if (index + 1 >= endpoints.size()) {
      return identifier;
    }
    return identifier.exceptionallyCompose(failure -> issued(endpoints, index + 1));
  }

  private CompletableFuture<Boolean> attempt(Request request, int number, int endpointIndex) {
    List<LookupAnswer.Endpoint> endpoints = request.endpoints();
    if (endpoints.isEmpty()) {
      journal.add(nobodyToAsk(request.arrival(), request.intendedNanoseconds()));
      return CompletableFuture.completedFuture(false);
    }
    LookupAnswer.Endpoint endpoint = endpoints.get(endpointIndex % endpoints.size());
    CallRecord.Builder attempt = builder(request.arrival(), request.intendedNanoseconds());
    attempt
        .request(request.identifier(), number)
        .caller(
            request.arrival().organisation(), request.key().identifier(), request.arrival().zone())
        .entryInstance(endpoint.name());
    return client
        .exchange(address(endpoint), call(request), CALL_TIMEOUT)
        .handle((reply, failure) -> end(attempt, reply, failure))
        .thenCompose(record -> repeatIfNeeded(request, record, endpointIndex));
  }

  private CallRecord end(
      CallRecord.Builder attempt,
      @org.jspecify.annotations.Nullable HttpReply reply,
      @org.jspecify.annotations.Nullable Throwable failure) {
    long now = System.nanoTime();
    if (reply != null) {
      AnswerReader.read(attempt, reply, now);
    } else if (failure != null) {
      AnswerReader.fail(attempt, failure, now);
    }
    CallRecord record = attempt.build();
    journal.add(record);
    return record;
  }

  private CompletableFuture<Boolean> repeatIfNeeded(
      Request request, CallRecord record, int endpointIndex) {
    boolean answered =
        switch (record.outcome()) {
          case ANSWERED -> true;
          case REFUSED -> !record.execution().equals("unknown");
          case LOST, UNREACHABLE -> false;
        };
    if (answered || record.attempt() >= ATTEMPTS) {
      return CompletableFuture.completedFuture(answered);
    }
    if (record.outcome() == CallRecord.Outcome.UNREACHABLE) {
      return attempt(request, record.attempt() + 1, endpointIndex + 1);
    }
    return CompletableFuture.supplyAsync(
            () -> request,
            CompletableFuture.delayedExecutor(REPEAT_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS))
        .thenCompose(again -> attempt(again, record.attempt() + 1, endpointIndex + 1));
  }

  private static HttpCall call(Request request) {
    HttpHeaders headers =
        HttpHeaders.NONE
            .with(CallerHeaders.REQUEST, request.identifier())
            .with(CallerHeaders.DEADLINE_MILLISECONDS, Long.toString(DEADLINE.toMillis()));
    if (!request.key().text().isEmpty()) {
      headers = headers.with(CallerHeaders.KEY, request.key().text());
    }
    return new HttpCall(
        request.arrival().route().method(), request.arrival().route().path(), headers, NO_BODY);
  }

  private CallRecord nobodyToAsk(Arrival arrival, long intendedNanoseconds) {
    return builder(arrival, intendedNanoseconds)
        .request(identifiers.own(), 1)
        .caller(arrival.organisation(), "", arrival.zone())
        .ended(CallRecord.Outcome.UNREACHABLE, 0, System.nanoTime())
        .build();
  }

  private static CallRecord.Builder builder(Arrival arrival, long intendedNanoseconds) {
    return CallRecord.builder()
        .route(arrival.route().name(), arrival.route().idempotent())
        .sent(intendedNanoseconds, System.nanoTime());
  }

  private static HttpAddress address(LookupAnswer.Endpoint endpoint) {
    return new HttpAddress(endpoint.host(), endpoint.port());
  }
}

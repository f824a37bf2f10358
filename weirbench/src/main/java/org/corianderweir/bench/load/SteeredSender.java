package org.corianderweir.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.daemon.traffic.CallerHeaders;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.model.request.LookupAnswer;
import org.corianderweir.model.topology.EntryInstance;

/**
 * The callers of one availability zone. They look up which entry instances to use and cache the
 * answer. If an instance can't be reached, they try the next one. If the outcome of a request is
 * unknown, they retry it with the same identifier at another instance.
 */
final class SteeredSender implements RequestSender {
  private static final Duration DEADLINE = Duration.ofSeconds(4);
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(6);
  private static final long RETRY_DELAY_MILLISECONDS = 300;
  private static final int MAXIMUM_ATTEMPTS = 3;
  private static final byte[] NO_BODY = new byte[0];

  private final HttpClient client;
  private final String clientPrefix;
  private final LookupCache lookupCache;
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
      List<EntryInstance> knownInstances,
      String identifierPrefix,
      CallerKeys keys,
      CallJournal journal) {
    this.client = client;
    this.clientPrefix = clientPrefix;
    lookupCache = new LookupCache(client, zone, knownInstances);
    identifiers = new IdentifierSource(client, identifierPrefix);
    this.keys = keys;
    this.journal = journal;
  }

  @Override
  public void send(Arrival arrival, long intendedNanoseconds) {
    pending.incrementAndGet();
    lookupCache
        .endpoints(clientPrefix + arrival.clientNumber())
        .thenCompose(endpoints -> prepareRequest(arrival, intendedNanoseconds, endpoints))
        .thenCompose(request -> attempt(request, 1, 0))
        .whenComplete(
            (completed, failure) -> {
              if (failure != null) {
                journal.add(noEndpointRecord(arrival, intendedNanoseconds));
              }
              pending.decrementAndGet();
            });
  }

  @Override
  public int pending() {
    return pending.get();
  }

  private CompletableFuture<Request> prepareRequest(
      Arrival arrival, long intendedNanoseconds, List<LookupAnswer.Endpoint> endpoints) {
    CallerKeys.CallerKey key = keys.of(arrival.organisation());
    if (arrival.route().idempotent() || endpoints.isEmpty()) {
      return CompletableFuture.completedFuture(
          new Request(arrival, intendedNanoseconds, identifiers.createLocal(), key, endpoints));
    }
    return obtainIdentifier(endpoints, 0)
        .thenApply(
            identifier -> new Request(arrival, intendedNanoseconds, identifier, key, endpoints));
  }

  private CompletableFuture<String> obtainIdentifier(
      List<LookupAnswer.Endpoint> endpoints, int index) {
    CompletableFuture<String> identifier = identifiers.obtainIssued(address(endpoints.get(index)));
    if (index + 1 >= endpoints.size()) {
      return identifier;
    }
    return identifier.exceptionallyCompose(failure -> obtainIdentifier(endpoints, index + 1));
  }

  private CompletableFuture<Boolean> attempt(Request request, int number, int endpointIndex) {
    List<LookupAnswer.Endpoint> endpoints = request.endpoints();
    if (endpoints.isEmpty()) {
      journal.add(noEndpointRecord(request.arrival(), request.intendedNanoseconds()));
      return CompletableFuture.completedFuture(false);
    }
    LookupAnswer.Endpoint endpoint = endpoints.get(endpointIndex % endpoints.size());
    CallRecord.Builder attempt = attemptBuilder(request.arrival(), request.intendedNanoseconds());
    attempt
        .request(request.identifier(), number)
        .caller(
            request.arrival().organisation(), request.key().identifier(), request.arrival().zone())
        .entryInstance(endpoint.name());
    return client
        .exchange(address(endpoint), createHttpRequest(request), CALL_TIMEOUT)
        .handle((response, failure) -> recordEnd(attempt, response, failure))
        .thenCompose(record -> retryIfNeeded(request, record, endpointIndex));
  }

  private CallRecord recordEnd(
      CallRecord.Builder attempt,
      @org.jspecify.annotations.Nullable HttpResponse response,
      @org.jspecify.annotations.Nullable Throwable failure) {
    long now = System.nanoTime();
    if (response != null) {
      ResponseReader.recordResponse(attempt, response, now);
    } else if (failure != null) {
      ResponseReader.recordFailure(attempt, failure, now);
    }
    CallRecord record = attempt.build();
    journal.add(record);
    return record;
  }

  private CompletableFuture<Boolean> retryIfNeeded(
      Request request, CallRecord record, int endpointIndex) {
    boolean finished =
        switch (record.outcome()) {
          case ANSWERED -> true;
          case REFUSED -> !record.execution().equals("unknown");
          case LOST, UNREACHABLE -> false;
        };
    if (finished || record.attempt() >= MAXIMUM_ATTEMPTS) {
      return CompletableFuture.completedFuture(finished);
    }
    if (record.outcome() == CallRecord.Outcome.UNREACHABLE) {
      return attempt(request, record.attempt() + 1, endpointIndex + 1);
    }
    return CompletableFuture.supplyAsync(
            () -> request,
            CompletableFuture.delayedExecutor(RETRY_DELAY_MILLISECONDS, TimeUnit.MILLISECONDS))
        .thenCompose(retried -> attempt(retried, record.attempt() + 1, endpointIndex + 1));
  }

  private static HttpRequest createHttpRequest(Request request) {
    HttpHeaders headers =
        HttpHeaders.NONE
            .with(CallerHeaders.REQUEST, request.identifier())
            .with(CallerHeaders.DEADLINE_MILLISECONDS, Long.toString(DEADLINE.toMillis()));
    if (!request.key().text().isEmpty()) {
      headers = headers.with(CallerHeaders.KEY, request.key().text());
    }
    return new HttpRequest(
        request.arrival().route().method(), request.arrival().route().path(), headers, NO_BODY);
  }

  private CallRecord noEndpointRecord(Arrival arrival, long intendedNanoseconds) {
    return attemptBuilder(arrival, intendedNanoseconds)
        .request(identifiers.createLocal(), 1)
        .caller(arrival.organisation(), "", arrival.zone())
        .ended(CallRecord.Outcome.UNREACHABLE, 0, System.nanoTime())
        .build();
  }

  private static CallRecord.Builder attemptBuilder(Arrival arrival, long intendedNanoseconds) {
    return CallRecord.builder()
        .route(arrival.route().name(), arrival.route().idempotent())
        .sent(intendedNanoseconds, System.nanoTime());
  }

  private static HttpAddress address(LookupAnswer.Endpoint endpoint) {
    return new HttpAddress(endpoint.host(), endpoint.port());
  }
}

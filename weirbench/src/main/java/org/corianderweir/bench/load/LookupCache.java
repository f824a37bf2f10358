package org.corianderweir.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.corianderweir.daemon.traffic.TrafficService;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.request.LookupAnswer;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;

/**
 * Looks up which entry instances a client may use and caches the answer of each client for the
 * lifetime that it states.
 */
final class LookupCache {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final int STATUS_OK = 200;

  private final HttpClient client;
  private final String zone;
  private final List<EntryInstance> knownInstances;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  private record Entry(
      CompletableFuture<List<LookupAnswer.Endpoint>> endpoints, long expiryNanoseconds) {}

  private record FetchedAnswer(LookupAnswer answer, long requestedNanoseconds) {}

  /**
   * Creates an empty cache.
   *
   * @param zone availability zone that is nearest to the clients
   * @param knownInstances entry instances to ask, nearest first; the next one is asked if one fails
   */
  LookupCache(HttpClient client, String zone, List<EntryInstance> knownInstances) {
    this.client = client;
    this.zone = zone;
    this.knownInstances = List.copyOf(knownInstances);
  }

  /**
   * Returns the entry instances that a client may use now, best first. Fails if no known entry
   * instance answers.
   */
  CompletableFuture<List<LookupAnswer.Endpoint>> endpoints(String clientAddress) {
    Entry entry =
        entries.compute(
            clientAddress,
            (address, existing) ->
                existing != null && isFresh(existing) ? existing : fetch(address));
    return entry.endpoints();
  }

  private static boolean isFresh(Entry entry) {
    return !entry.endpoints().isDone()
        || (!entry.endpoints().isCompletedExceptionally()
            && System.nanoTime() < entry.expiryNanoseconds());
  }

  private Entry fetch(String clientAddress) {
    CompletableFuture<FetchedAnswer> fetching = fetchFrom(0, clientAddress);
    CompletableFuture<List<LookupAnswer.Endpoint>> endpoints = new CompletableFuture<>();
    Entry pendingEntry = new Entry(endpoints, Long.MAX_VALUE);
    fetching.whenComplete(
        (fetched, failure) -> {
          if (failure != null) {
            endpoints.completeExceptionally(failure);
            return;
          }
          long lifetimeNanoseconds =
              TimeUnit.MILLISECONDS.toNanos(fetched.answer().lifetimeMilliseconds());
          Entry completedEntry =
              new Entry(endpoints, fetched.requestedNanoseconds() + lifetimeNanoseconds);
          endpoints.complete(fetched.answer().entryInstances());
          entries.replace(clientAddress, pendingEntry, completedEntry);
        });
    return pendingEntry;
  }

  private CompletableFuture<FetchedAnswer> fetchFrom(int index, String clientAddress) {
    if (index >= knownInstances.size()) {
      return CompletableFuture.failedFuture(
          new WeirException(ErrorCode.CONNECT_FAILED, "no entry instance answers look-ups"));
    }
    EntryInstance instance = knownInstances.get(index);
    long requestedNanoseconds = System.nanoTime();
    String target =
        TrafficService.LOOKUP_PATH + "?client=" + clientAddress + "&availability-zone=" + zone;
    return client
        .exchange(
            new HttpAddress(instance.host(), instance.callerPort()),
            HttpRequest.of("GET", target),
            CALL_TIMEOUT)
        .thenApply(
            response -> {
              if (response.status() != STATUS_OK) {
                throw new WeirException(ErrorCode.CONNECT_FAILED, "status " + response.status());
              }
              return new FetchedAnswer(
                  Json.read(response.bodyText(), LookupAnswer.class), requestedNanoseconds);
            })
        .exceptionallyCompose(failure -> fetchFrom(index + 1, clientAddress));
  }
}

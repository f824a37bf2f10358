package org.corianderweir.bench.load;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.corianderweir.daemon.traffic.TrafficService;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpClient;
import org.corianderweir.model.ErrorCode;
import org.corianderweir.model.WeirException;
import org.corianderweir.model.request.LookupAnswer;
import org.corianderweir.model.topology.EntryInstance;
import org.corianderweir.protocol.Json;

/** Asks for entry instances and keeps each answer for its lifetime, one for each client. */
final class LookupCache {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final int STATUS_OK = 200;

  private final HttpClient client;
  private final String zone;
  private final List<EntryInstance> known;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();

  private record Entry(CompletableFuture<List<LookupAnswer.Endpoint>> answer, long untilNanos) {}

  private record Fresh(LookupAnswer answer, long askedNanoseconds) {}

  /**
   * Creates an empty cache.
   *
   * @param zone availability zone that is nearest to the clients
   * @param known entry instances to ask, the nearest first
   */
  LookupCache(HttpClient client, String zone, List<EntryInstance> known) {
    this.client = client;
    this.zone = zone;
    this.known = List.copyOf(known);
  }

  /** Returns the entry instances that a client may use now, best first. */
  CompletableFuture<List<LookupAnswer.Endpoint>> endpoints(String clientAddress) {
    Entry entry =
        entries.compute(
            clientAddress, (address, old) -> old != null && isUsable(old) ? old : ask(address));
    return entry.answer();
  }

  private static boolean isUsable(Entry entry) {
    return !entry.answer().isDone()
        || (!entry.answer().isCompletedExceptionally() && System.nanoTime() < entry.untilNanos());
  }

  private Entry ask(String clientAddress) {
    CompletableFuture<Fresh> fresh = askFrom(0, clientAddress);
    CompletableFuture<List<LookupAnswer.Endpoint>> answer = new CompletableFuture<>();
    Entry waiting = new Entry(answer, Long.MAX_VALUE);
    fresh.whenComplete(
        (found, failure) -> {
          if (failure != null) {
            answer.completeExceptionally(failure);
            return;
          }
          long lifetime = TimeUnit.MILLISECONDS.toNanos(found.answer().lifetimeMilliseconds());
          Entry lasting = new Entry(answer, found.askedNanoseconds() + lifetime);
          answer.complete(found.answer().entryInstances());
          entries.replace(clientAddress, waiting, lasting);
        });
    return waiting;
  }

  private CompletableFuture<Fresh> askFrom(int index, String clientAddress) {
    if (index >= known.size()) {
      return CompletableFuture.failedFuture(
          new WeirException(ErrorCode.CONNECT_FAILED, "no entry instance answers look-ups"));
    }
    EntryInstance instance = known.get(index);
    long asked = System.nanoTime();
    String target =
        TrafficService.LOOKUP_PATH + "?client=" + clientAddress + "&availability-zone=" + zone;
    return client
        .exchange(
            new HttpAddress(instance.host(), instance.callerPort()),
            HttpCall.of("GET", target),
            CALL_TIMEOUT)
        .thenApply(
            reply -> {
              if (reply.status() != STATUS_OK) {
                throw new WeirException(ErrorCode.CONNECT_FAILED, "status " + reply.status());
              }
              return new Fresh(Json.read(reply.bodyText(), LookupAnswer.class), asked);
            })
        .exceptionallyCompose(failure -> askFrom(index + 1, clientAddress));
  }
}

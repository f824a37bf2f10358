package org.corianderweir.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpReply;
import org.corianderweir.protocol.Json;

/**
 * Gets identifiers for requests that must not run twice from the entry instance that is asked, a
 * few at a time; where an instance issues none, the callers' own identifier is used.
 */
final class IdentifierSource {
  private static final String PATH = "/.weir/request-identifier?count=20";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final long USABLE_NANOSECONDS = Duration.ofSeconds(60).toNanos();
  private static final int STATUS_OK = 200;

  private final HttpClient client;
  private final Map<HttpAddress, Deque<Issued>> stocks = new ConcurrentHashMap<>();
  private final String prefix;
  private final AtomicLong number = new AtomicLong();

  private record Issued(String text, long untilNanoseconds) {}

  /**
   * Creates a source.
   *
   * @param prefix begin of the callers' own identifiers
   */
  IdentifierSource(HttpClient client, String prefix) {
    this.client = client;
    this.prefix = prefix;
  }

  /** Returns an identifier that the caller makes up. */
  String own() {
    return prefix + "-" + number.incrementAndGet();
  }

  /** Returns an identifier for a request to an entry instance that must not run twice. */
  CompletableFuture<String> issued(HttpAddress instance) {
    Deque<Issued> stock = stocks.computeIfAbsent(instance, unused -> new ArrayDeque<>());
    Optional<String> ready = takeReady(stock);
    if (ready.isPresent()) {
      return CompletableFuture.completedFuture(ready.get());
    }
    return client
        .exchange(instance, HttpCall.of("GET", PATH), CALL_TIMEOUT)
        .thenApply(reply -> store(stock, reply));
  }

  private static Optional<String> takeReady(Deque<Issued> stock) {
    synchronized (stock) {
      Optional<Issued> first = Optional.ofNullable(stock.pollFirst());
      while (first.isPresent() && first.get().untilNanoseconds() < System.nanoTime()) {
        first = Optional.ofNullable(stock.pollFirst());
      }
      return first.map(Issued::text);
    }
  }

  private String store(Deque<Issued> stock, HttpReply reply) {
    if (reply.status() != STATUS_OK) {
      return own();
    }
    long until = System.nanoTime() + USABLE_NANOSECONDS;
    JsonNode identifiers = Json.read(reply.bodyText(), JsonNode.class).path("identifiers");
    synchronized (stock) {
      identifiers.forEach(text -> stock.addLast(new Issued(text.asText(), until)));
    }
    return takeReady(stock).orElseGet(this::own);
  }
}

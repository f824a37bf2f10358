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
import org.corianderweir.http.HttpClient;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.corianderweir.protocol.Json;

/**
 * Obtains request identifiers for requests that must not run twice. Fetches them in small batches
 * from a given entry instance; if the instance issues none, creates a local identifier instead.
 */
final class IdentifierSource {
  private static final String REQUEST_PATH = "/.weir/request-identifier?count=20";
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
  private static final long IDENTIFIER_LIFETIME_NANOSECONDS = Duration.ofSeconds(60).toNanos();
  private static final int STATUS_OK = 200;

  private final HttpClient client;
  private final Map<HttpAddress, Deque<Issued>> identifiersByInstance = new ConcurrentHashMap<>();
  private final String prefix;
  private final AtomicLong localCounter = new AtomicLong();

  private record Issued(String text, long untilNanoseconds) {}

  /**
   * Creates a source.
   *
   * @param prefix prefix of local identifiers
   */
  IdentifierSource(HttpClient client, String prefix) {
    this.client = client;
    this.prefix = prefix;
  }

  /** Creates an identifier without asking an entry instance. */
  String createLocal() {
    return prefix + "-" + localCounter.incrementAndGet();
  }

  /**
   * Returns an identifier that the given entry instance issued, for a request that must not run
   * twice. Returns a local identifier if the instance issues none; fails if the instance can't be
   * reached.
   */
  CompletableFuture<String> obtainIssued(HttpAddress instance) {
    Deque<Issued> identifiers =
        identifiersByInstance.computeIfAbsent(instance, unused -> new ArrayDeque<>());
    Optional<String> ready = takeUnexpired(identifiers);
    if (ready.isPresent()) {
      return CompletableFuture.completedFuture(ready.get());
    }
    return client
        .exchange(instance, HttpRequest.of("GET", REQUEST_PATH), CALL_TIMEOUT)
        .thenApply(response -> addIssued(identifiers, response));
  }

  private static Optional<String> takeUnexpired(Deque<Issued> identifiers) {
    synchronized (identifiers) {
      Optional<Issued> first = Optional.ofNullable(identifiers.pollFirst());
      while (first.isPresent() && first.get().untilNanoseconds() < System.nanoTime()) {
        first = Optional.ofNullable(identifiers.pollFirst());
      }
      return first.map(Issued::text);
    }
  }

  private String addIssued(Deque<Issued> available, HttpResponse response) {
    if (response.status() != STATUS_OK) {
      return createLocal();
    }
    long expiryNanoseconds = System.nanoTime() + IDENTIFIER_LIFETIME_NANOSECONDS;
    JsonNode identifiers = Json.read(response.bodyText(), JsonNode.class).path("identifiers");
    synchronized (available) {
      identifiers.forEach(text -> available.addLast(new Issued(text.asText(), expiryNanoseconds)));
    }
    return takeUnexpired(available).orElseGet(this::createLocal);
  }
}

package org.corianderweir.bench.metadata;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;

/** A metadata store that implements the platform's protocol and can inject faults. Thread-safe. */
public final class MetadataStoreStandIn {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int MAXIMUM_PAGE_ITEMS = 500;
  private static final int BODY_LIMIT_BYTES = 2 * 1024 * 1024;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_GONE = 410;
  private static final int STATUS_PRECONDITION_FAILED = 412;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final long SWEEP_INTERVAL_MILLISECONDS = 20;

  private final StoreState state = new StoreState();
  private final List<Watch> watches = new ArrayList<>();
  private final AtomicInteger callCount = new AtomicInteger();
  private final HttpListener listener;
  private final ScheduledExecutorService sweeper = Executors.newSingleThreadScheduledExecutor();
  private StoreFault fault = StoreFault.NONE;

  private record Watch(
      String prefix,
      long afterRevision,
      long deadlineMilliseconds,
      CompletableFuture<HttpResponse> response) {}

  /** Creates a store that does not listen yet. With port 0 the system chooses a port. */
  public MetadataStoreStandIn(String host, int port) {
    listener =
        new HttpListener(
            new HttpListenerOptions("metadata-store", host, port, BODY_LIMIT_BYTES, 1),
            this::handle);
  }

  /** Starts listening. */
  public void start() {
    listener.start();
    sweeper.scheduleWithFixedDelay(
        this::sweep,
        SWEEP_INTERVAL_MILLISECONDS,
        SWEEP_INTERVAL_MILLISECONDS,
        TimeUnit.MILLISECONDS);
  }

  /** Stops listening and ends the store's thread. */
  public void stop() {
    sweeper.shutdownNow();
    listener.stop(0);
  }

  /** Returns the port that the store listens on. */
  public int port() {
    return listener.port();
  }

  /** Returns the number of calls received so far. */
  public int callCount() {
    return callCount.get();
  }

  /** Sets the fault that applies from now on. */
  public synchronized void setFault(StoreFault newFault) {
    fault = newFault;
  }

  /** Writes a value directly, in place of an operator or a server. */
  public synchronized void put(String key, String value) {
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    state.put(key, encoded, 0);
  }

  /** Removes a key directly, in place of an operator or a server. */
  public synchronized void remove(String key) {
    state.remove(key);
  }

  /** Drops the history of changes; watches that need the dropped part are answered with 410. */
  public synchronized void compactHistory() {
    state.compactHistory();
  }

  /** Returns the keys that start with a prefix. */
  public synchronized List<String> keys(String prefix) {
    return state.items().keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  private synchronized CompletableFuture<HttpResponse> handle(HttpRequest request) {
    callCount.incrementAndGet();
    if (fault == StoreFault.REFUSES) {
      return completed(new HttpResponse(STATUS_UNAVAILABLE, HttpHeaders.NONE, new byte[0]));
    }
    if (fault == StoreFault.SILENT) {
      return new CompletableFuture<>();
    }
    CompletableFuture<HttpResponse> response =
        switch (request.path()) {
          case "/api/kv-range" -> completed(listItems(request));
          case "/api/kv-watch" -> watch(request);
          case "/api/kv-txn" -> completed(transaction(readBody(request)));
          case "/api/kv-lease" -> completed(acquireLease(readBody(request)));
          default -> completed(renewOrEndLease(request));
        };
    boolean write = !request.method().equals("GET");
    return write && fault == StoreFault.LOSES_ANSWERS ? new CompletableFuture<>() : response;
  }

  private HttpResponse listItems(HttpRequest request) {
    String prefix = request.parameter("pathPrefix", "");
    String after = request.parameter("after", "");
    ObjectNode response = JsonNodeFactory.instance.objectNode();
    ArrayNode items = response.putArray("items");
    boolean hasMore = false;
    for (StoreState.Item item : state.items().values()) {
      if (!item.key().startsWith(prefix) || item.key().compareTo(after) <= 0) {
        continue;
      }
      if (items.size() == MAXIMUM_PAGE_ITEMS) {
        hasMore = true;
        break;
      }
      items.add(encode(item));
    }
    response.put("hasMore", hasMore);
    response.put("asOf", state.revision());
    return HttpResponse.json(STATUS_OK, response.toString());
  }

  private CompletableFuture<HttpResponse> watch(HttpRequest request) {
    long afterRevision = Long.parseLong(request.parameter("after", "0"));
    if (!state.hasHistoryAfter(afterRevision)) {
      return completed(HttpResponse.json(STATUS_GONE, "{}"));
    }
    long deadlineMilliseconds =
        nowMilliseconds() + Long.parseLong(request.parameter("waitMs", "0"));
    Watch watch =
        new Watch(
            request.parameter("pathPrefix", ""),
            afterRevision,
            deadlineMilliseconds,
            new CompletableFuture<>());
    watches.add(watch);
    return watch.response();
  }

  private HttpResponse transaction(JsonNode body) {
    for (JsonNode row : body.path("precondition")) {
      StoreState.Item item = state.items().get(row.path("key").asText());
      if (row.path("revision").asLong() != (item == null ? 0 : item.revision())) {
        return HttpResponse.json(STATUS_PRECONDITION_FAILED, "{\"items\":[]}");
      }
    }
    for (JsonNode write : body.path("writes")) {
      if (!state.isLeaseHeld(write.path("lease").asLong())) {
        return HttpResponse.json(STATUS_NOT_FOUND, "{}");
      }
    }
    for (JsonNode write : body.path("writes")) {
      state.put(
          write.path("key").asText(), write.path("value").asText(), write.path("lease").asLong());
    }
    body.path("remove").forEach(key -> state.remove(key.asText()));
    return HttpResponse.json(STATUS_OK, "{\"revision\":" + state.revision() + "}");
  }

  private HttpResponse acquireLease(JsonNode body) {
    long durationMilliseconds = body.path("ttlMs").asLong();
    long lease = state.acquireLease(nowMilliseconds() + durationMilliseconds);
    return HttpResponse.json(
        STATUS_OK, "{\"lease\":" + lease + ",\"ttlMs\":" + durationMilliseconds + "}");
  }

  /** Renews or ends a lease. The stand-in renews every lease for 4 seconds. */
  private HttpResponse renewOrEndLease(HttpRequest request) {
    long lease = Long.parseLong(request.path().substring(request.path().lastIndexOf('/') + 1));
    if (request.method().equals("DELETE")) {
      state.endLease(lease);
      return HttpResponse.json(STATUS_OK, "{}");
    }
    boolean held = state.renewLease(lease, nowMilliseconds() + TimeUnit.SECONDS.toMillis(4));
    return HttpResponse.json(held ? STATUS_OK : STATUS_NOT_FOUND, "{}");
  }

  private synchronized void sweep() {
    state.endExpiredLeases(nowMilliseconds());
    if (fault == StoreFault.DEAF_WATCHES || fault == StoreFault.SILENT) {
      return;
    }
    for (Watch watch : List.copyOf(watches)) {
      List<StoreState.Change> changes = state.changesAfter(watch.afterRevision(), watch.prefix());
      if (!state.hasHistoryAfter(watch.afterRevision())) {
        watch.response().complete(HttpResponse.json(STATUS_GONE, "{}"));
      } else if (!changes.isEmpty() || nowMilliseconds() >= watch.deadlineMilliseconds()) {
        watch.response().complete(eventsResponse(changes));
      }
    }
    watches.removeIf(watch -> watch.response().isDone());
  }

  private HttpResponse eventsResponse(List<StoreState.Change> changes) {
    ObjectNode response = JsonNodeFactory.instance.objectNode();
    ArrayNode events = response.putArray("events");
    for (StoreState.Change change : changes) {
      events.add(
          change
              .item()
              .map(MetadataStoreStandIn::encode)
              .orElseGet(
                  () ->
                      JsonNodeFactory.instance
                          .objectNode()
                          .put("key", change.key())
                          .put("revision", change.revision())
                          .put("tombstone", true)));
    }
    response.put("asOf", state.revision());
    return HttpResponse.json(STATUS_OK, response.toString());
  }

  private static ObjectNode encode(StoreState.Item item) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("key", item.key())
        .put("value", item.value())
        .put("revision", item.revision())
        .put("lease", item.lease());
  }

  private static JsonNode readBody(HttpRequest request) {
    try {
      return MAPPER.readTree(request.body());
    } catch (IOException malformed) {
      return MAPPER.valueToTree(Map.of());
    }
  }

  private static long nowMilliseconds() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static CompletableFuture<HttpResponse> completed(HttpResponse response) {
    return CompletableFuture.completedFuture(response);
  }
}

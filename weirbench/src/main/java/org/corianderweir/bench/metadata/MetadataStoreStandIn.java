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
import org.corianderweir.http.HttpCall;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpReply;

/** A small metadata store that speaks the platform's protocol, with faults. Thread-safe. */
public final class MetadataStoreStandIn {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final int PAGE_ITEMS = 500;
  private static final int BODY_LIMIT_BYTES = 2 * 1024 * 1024;
  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;
  private static final int STATUS_GONE = 410;
  private static final int STATUS_CONDITION_FAILED = 412;
  private static final int STATUS_UNAVAILABLE = 503;
  private static final long SWEEP_MILLISECONDS = 20;

  private final StoreState state = new StoreState();
  private final List<Watch> watches = new ArrayList<>();
  private final AtomicInteger calls = new AtomicInteger();
  private final HttpListener listener;
  private final ScheduledExecutorService sweeper = Executors.newSingleThreadScheduledExecutor();
  private StoreFault fault = StoreFault.NONE;

  private record Watch(
      String prefix, long after, long endMilliseconds, CompletableFuture<HttpReply> answer) {}

  /** Creates a store that does not listen yet; port 0 lets the system choose. */
  public MetadataStoreStandIn(String host, int port) {
    listener =
        new HttpListener(
            new HttpListenerOptions("metadata-store", host, port, BODY_LIMIT_BYTES, 1),
            this::handle);
  }

  /** Starts to listen. */
  public void start() {
    listener.start();
    sweeper.scheduleWithFixedDelay(
        this::sweep, SWEEP_MILLISECONDS, SWEEP_MILLISECONDS, TimeUnit.MILLISECONDS);
  }

  /** Ends the store. */
  public void stop() {
    sweeper.shutdownNow();
    listener.stop(0);
  }

  /** Returns the port that the store listens on. */
  public int port() {
    return listener.port();
  }

  /** Returns the number of calls so far. */
  public int calls() {
    return calls.get();
  }

  /** Sets what the store does wrong from now on. */
  public synchronized void fault(StoreFault next) {
    fault = next;
  }

  /** Writes as the operators or servers would. */
  public synchronized void put(String key, String value) {
    String encoded = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    state.put(key, encoded, 0);
  }

  /** Removes as the operators or servers would. */
  public synchronized void remove(String key) {
    state.remove(key);
  }

  /** Drops the history; watches from before are told so. */
  public synchronized void forgetHistory() {
    state.forgetHistory();
  }

  /** Returns the keys below a prefix. */
  public synchronized List<String> keys(String prefix) {
    return state.items().keySet().stream().filter(key -> key.startsWith(prefix)).toList();
  }

  private synchronized CompletableFuture<HttpReply> handle(HttpCall call) {
    calls.incrementAndGet();
    if (fault == StoreFault.REFUSES) {
      return done(new HttpReply(STATUS_UNAVAILABLE, HttpHeaders.NONE, new byte[0]));
    }
    if (fault == StoreFault.SILENT) {
      return new CompletableFuture<>();
    }
    CompletableFuture<HttpReply> answer =
        switch (call.path()) {
          case "/api/kv-range" -> done(range(call));
          case "/api/kv-watch" -> watch(call);
          case "/api/kv-txn" -> done(transaction(body(call)));
          case "/api/kv-lease" -> done(acquire(body(call)));
          default -> done(leaseCall(call));
        };
    boolean write = !call.method().equals("GET");
    return write && fault == StoreFault.LOSES_ANSWERS ? new CompletableFuture<>() : answer;
  }

  private HttpReply range(HttpCall call) {
    String prefix = call.parameter("pathPrefix", "");
    String after = call.parameter("after", "");
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    ArrayNode items = answer.putArray("items");
    boolean more = false;
    for (StoreState.Item item : state.items().values()) {
      if (!item.key().startsWith(prefix) || item.key().compareTo(after) <= 0) {
        continue;
      }
      if (items.size() == PAGE_ITEMS) {
        more = true;
        break;
      }
      items.add(encode(item));
    }
    answer.put("hasMore", more);
    answer.put("asOf", state.revision());
    return HttpReply.json(STATUS_OK, answer.toString());
  }

  private CompletableFuture<HttpReply> watch(HttpCall call) {
    long after = Long.parseLong(call.parameter("after", "0"));
    if (!state.remembers(after)) {
      return done(HttpReply.json(STATUS_GONE, "{}"));
    }
    long end = now() + Long.parseLong(call.parameter("waitMs", "0"));
    Watch watch =
        new Watch(call.parameter("pathPrefix", ""), after, end, new CompletableFuture<>());
    watches.add(watch);
    return watch.answer();
  }

  private HttpReply transaction(JsonNode body) {
    for (JsonNode row : body.path("precondition")) {
      StoreState.Item item = state.items().get(row.path("key").asText());
      if (row.path("revision").asLong() != (item == null ? 0 : item.revision())) {
        return HttpReply.json(STATUS_CONDITION_FAILED, "{\"items\":[]}");
      }
    }
    for (JsonNode write : body.path("writes")) {
      if (!state.holds(write.path("lease").asLong())) {
        return HttpReply.json(STATUS_NOT_FOUND, "{}");
      }
    }
    for (JsonNode write : body.path("writes")) {
      state.put(
          write.path("key").asText(), write.path("value").asText(), write.path("lease").asLong());
    }
    body.path("remove").forEach(key -> state.remove(key.asText()));
    return HttpReply.json(STATUS_OK, "{\"revision\":" + state.revision() + "}");
  }

  private HttpReply acquire(JsonNode body) {
    long duration = body.path("ttlMs").asLong();
    long lease = state.acquire(now() + duration);
    return HttpReply.json(STATUS_OK, "{\"lease\":" + lease + ",\"ttlMs\":" + duration + "}");
  }

  /** Renews or ends a lease; the stand-in renews all for the same time. */
  private HttpReply leaseCall(HttpCall call) {
    long lease = Long.parseLong(call.path().substring(call.path().lastIndexOf('/') + 1));
    if (call.method().equals("DELETE")) {
      state.end(lease);
      return HttpReply.json(STATUS_OK, "{}");
    }
    boolean held = state.renew(lease, now() + TimeUnit.SECONDS.toMillis(4));
    return HttpReply.json(held ? STATUS_OK : STATUS_NOT_FOUND, "{}");
  }

  private synchronized void sweep() {
    state.endLapsed(now());
    if (fault == StoreFault.DEAF_WATCHES || fault == StoreFault.SILENT) {
      return;
    }
    for (Watch watch : List.copyOf(watches)) {
      List<StoreState.Change> changes = state.since(watch.after(), watch.prefix());
      if (!state.remembers(watch.after())) {
        watch.answer().complete(HttpReply.json(STATUS_GONE, "{}"));
      } else if (!changes.isEmpty() || now() >= watch.endMilliseconds()) {
        watch.answer().complete(events(changes));
      }
    }
    watches.removeIf(watch -> watch.answer().isDone());
  }

  private HttpReply events(List<StoreState.Change> changes) {
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    ArrayNode events = answer.putArray("events");
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
    answer.put("asOf", state.revision());
    return HttpReply.json(STATUS_OK, answer.toString());
  }

  private static ObjectNode encode(StoreState.Item item) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("key", item.key())
        .put("value", item.value())
        .put("revision", item.revision())
        .put("lease", item.lease());
  }

  private static JsonNode body(HttpCall call) {
    try {
      return MAPPER.readTree(call.body());
    } catch (IOException malformed) {
      return MAPPER.valueToTree(Map.of());
    }
  }

  private static long now() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static CompletableFuture<HttpReply> done(HttpReply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}

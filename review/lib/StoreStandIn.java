import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The platform's metadata store as PROTOCOL.md describes it, in memory: items, ranges, watches,
 * transactions and leases. It keeps its whole history and is never slow.
 */
final class StoreStandIn {
  private static final int PAGE_ITEMS = 500;

  private final HttpServer server;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<String[]> history = new ArrayList<>();
  private final Map<Long, Long> leaseEnds = new HashMap<>();
  private final Map<Long, Long> leaseTimes = new HashMap<>();
  private long revision = 1;
  private long nextLease = 1000;

  private record Item(String value, long revision, long created, long lease) {}

  StoreStandIn(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, 0), 128);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/", this::handle);
    server.start();
    Thread expiry =
        new Thread(
            () -> {
              while (true) {
                expireLeases();
                try {
                  Thread.sleep(50);
                } catch (InterruptedException interrupted) {
                  return;
                }
              }
            });
    expiry.setDaemon(true);
    expiry.start();
  }

  int port() {
    return server.getAddress().getPort();
  }

  /** Writes an item as the operator or a server does; returns the revision. */
  synchronized long put(String key, String value) {
    return put(
        key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
  }

  synchronized void remove(String key) {
    if (items.remove(key) != null) {
      revision++;
      history.add(
          new String[] {
            key,
            Long.toString(revision),
            "{\"key\":\"%s\",\"revision\":%d,\"tombstone\":true}".formatted(key, revision)
          });
      notifyAll();
    }
  }

  synchronized boolean has(String prefix) {
    String key = items.ceilingKey(prefix);
    return key != null && key.startsWith(prefix);
  }

  private synchronized long put(String key, String base64, long lease) {
    revision++;
    Item old = items.get(key);
    Item item = new Item(base64, revision, old == null ? revision : old.created(), lease);
    items.put(key, item);
    history.add(new String[] {key, Long.toString(revision), json(key, item)});
    notifyAll();
    return revision;
  }

  private static String json(String key, Item item) {
    return "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":%d}"
        .formatted(key, item.value(), item.revision(), item.created(), item.lease());
  }

  private synchronized void expireLeases() {
    long now = System.currentTimeMillis();
    for (Map.Entry<Long, Long> lease : new ArrayList<>(leaseEnds.entrySet())) {
      if (lease.getValue() < now) {
        endLease(lease.getKey());
      }
    }
  }

  private synchronized boolean endLease(long lease) {
    boolean known = leaseEnds.remove(lease) != null;
    for (String key : new ArrayList<>(items.keySet())) {
      if (items.get(key).lease() == lease) {
        remove(key);
      }
    }
    return known;
  }

  private void handle(HttpExchange exchange) throws IOException {
    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
    String path = exchange.getRequestURI().getPath();
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    int status = 200;
    String answer;
    try {
      if (path.equals("/api/kv-range")) {
        answer = range(query);
      } else if (path.equals("/api/kv-key")) {
        answer = key(query);
        status = answer.isEmpty() ? 404 : 200;
      } else if (path.equals("/api/kv-watch")) {
        answer = watch(query);
      } else if (path.equals("/api/kv-txn")) {
        answer = transaction(body);
        status = answer.startsWith("!") ? Integer.parseInt(answer.substring(1)) : 200;
      } else if (path.equals("/api/kv-lease")) {
        answer = lease(body);
      } else if (path.startsWith("/api/kv-keep/")) {
        answer = keep(Long.parseLong(path.substring("/api/kv-keep/".length())));
        status = answer.isEmpty() ? 404 : 200;
      } else if (path.startsWith("/api/kv-lease-end/")) {
        boolean known = endLease(Long.parseLong(path.substring("/api/kv-lease-end/".length())));
        status = known ? 200 : 404;
        answer = "{}";
      } else {
        status = 404;
        answer = "{}";
      }
    } catch (InterruptedException interrupted) {
      status = 503;
      answer = "{}";
    }
    byte[] bytes = (status == 200 ? answer : "{\"items\":[]}").getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
    exchange.close();
  }

  private synchronized String range(Map<String, String> query) {
    String prefix = query.getOrDefault("pathPrefix", "");
    String after = query.getOrDefault("after", "");
    List<String> rows = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Item> entry : items.tailMap(after.isEmpty() ? prefix : after, after.isEmpty()).entrySet()) {
      if (!entry.getKey().startsWith(prefix)) {
        continue;
      }
      if (rows.size() == PAGE_ITEMS) {
        more = true;
        break;
      }
      rows.add(json(entry.getKey(), entry.getValue()));
    }
    return "{\"items\":[%s],\"hasMore\":%s,\"asOf\":%d}"
        .formatted(String.join(",", rows), more, revision);
  }

  private synchronized String key(Map<String, String> query) {
    Item item = items.get(query.getOrDefault("key", ""));
    if (item == null) {
      return "";
    }
    String text = json(query.get("key"), item);
    return text.substring(0, text.length() - 1) + ",\"asOf\":" + revision + "}";
  }

  private synchronized String watch(Map<String, String> query) throws InterruptedException {
    String prefix = query.getOrDefault("pathPrefix", "");
    long after = Long.parseLong(query.get("after"));
    long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
    while (true) {
      List<String> events = new ArrayList<>();
      for (String[] event : history) {
        if (Long.parseLong(event[1]) > after && event[0].startsWith(prefix)) {
          events.add(event[2]);
        }
      }
      long left = (end - System.nanoTime()) / 1_000_000;
      if (!events.isEmpty() || left <= 0) {
        return "{\"events\":[%s],\"asOf\":%d}".formatted(String.join(",", events), revision);
      }
      wait(left);
    }
  }

  private synchronized String transaction(String body) {
    String condition = section(body, "precondition");
    Matcher conditions =
        Pattern.compile("\"key\":\"([^\"]*)\",\"revision\":(\\d+)").matcher(condition);
    while (conditions.find()) {
      Item item = items.get(conditions.group(1));
      long current = item == null ? 0 : item.revision();
      if (current != Long.parseLong(conditions.group(2))) {
        return "!412";
      }
    }
    Matcher writes =
        Pattern.compile("\"key\":\"([^\"]*)\",\"value\":\"([^\"]*)\"(?:,\"lease\":(\\d+))?")
            .matcher(section(body, "writes"));
    List<String[]> found = new ArrayList<>();
    while (writes.find()) {
      String lease = writes.group(3) == null ? "0" : writes.group(3);
      if (!lease.equals("0") && !leaseEnds.containsKey(Long.parseLong(lease))) {
        return "!404";
      }
      found.add(new String[] {writes.group(1), writes.group(2), lease});
    }
    found.forEach(write -> put(write[0], write[1], Long.parseLong(write[2])));
    return "{\"revision\":" + revision + "}";
  }

  private static String section(String body, String name) {
    int start = body.indexOf("\"" + name + "\":[");
    return start < 0 ? "" : body.substring(start, body.indexOf(']', start));
  }

  private synchronized String lease(String body) {
    Matcher time = Pattern.compile("\"ttlMs\":(\\d+)").matcher(body);
    long milliseconds = time.find() ? Long.parseLong(time.group(1)) : 3_000;
    nextLease++;
    leaseTimes.put(nextLease, milliseconds);
    leaseEnds.put(nextLease, System.currentTimeMillis() + milliseconds);
    return "{\"lease\":%d,\"ttlMs\":%d}".formatted(nextLease, milliseconds);
  }

  private synchronized String keep(long lease) {
    if (!leaseEnds.containsKey(lease)) {
      return "";
    }
    leaseEnds.put(lease, System.currentTimeMillis() + leaseTimes.get(lease));
    return "{\"ttlMs\":" + leaseTimes.get(lease) + "}";
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> parameters = new HashMap<>();
    if (raw != null) {
      for (String pair : raw.split("&")) {
        int equals = pair.indexOf('=');
        parameters.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return parameters;
  }
}

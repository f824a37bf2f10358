import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's metadata store, by PROTOCOL.md. */
final class Store {
  private static final int PAGE_ITEMS = 500;

  private record Item(String key, String value, long revision, long created, long lease) {
    String json() {
      return "{\"key\":%s,\"value\":\"%s\",\"revision\":%d,\"created\":%d,\"lease\":%d}"
          .formatted(Json.quote(key), value, revision, created, lease);
    }
  }

  private record Event(String key, long revision, String json) {}

  private static final class Lease {
    long ttlMilliseconds;
    long endMilliseconds;
  }

  private final ServerSocket socket;
  private final TreeMap<String, Item> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<Long, Lease> leases = new HashMap<>();
  private long revision = 100;
  private long lastLease = 1000;

  Store() throws IOException {
    socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
    Thread.ofVirtual().start(this::expire);
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  /** Writes for the operator or a server. */
  synchronized long put(String key, String value) {
    String encoded =
        Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    return write(key, encoded, 0);
  }

  private void delete(String key) {
    if (items.remove(key) != null) {
      revision++;
      String json =
          "{\"key\":%s,\"revision\":%d,\"tombstone\":true}".formatted(Json.quote(key), revision);
      events.add(new Event(key, revision, json));
      notifyAll();
    }
  }

  private long write(String key, String value, long lease) {
    revision++;
    Item old = items.get(key);
    Item item = new Item(key, value, revision, old == null ? revision : old.created(), lease);
    items.put(key, item);
    events.add(new Event(key, revision, item.json()));
    notifyAll();
    return revision;
  }

  private void expire() {
    while (!socket.isClosed()) {
      synchronized (this) {
        long now = System.nanoTime() / 1_000_000;
        for (Long ended :
            leases.entrySet().stream()
                .filter(entry -> entry.getValue().endMilliseconds < now)
                .map(Map.Entry::getKey)
                .toList()) {
          endLease(ended);
        }
      }
      Run.sleep(50);
    }
  }

  private boolean endLease(long lease) {
    if (leases.remove(lease) == null) {
      return false;
    }
    items.values().stream().filter(item -> item.lease() == lease).map(Item::key).toList()
        .forEach(this::delete);
    return true;
  }

  private void accept() {
    while (true) {
      try {
        Socket connection = socket.accept();
        Thread.ofVirtual().start(() -> serve(connection));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
      OutputStream out = connection.getOutputStream();
      for (Http.Message call = Http.read(in); call != null; call = Http.read(in)) {
        String[] answer = answer(call);
        byte[] body = answer[1].getBytes(StandardCharsets.UTF_8);
        out.write(
            Http.bytes(
                "HTTP/1.1 %s X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    .formatted(answer[0], body.length)));
        out.write(body);
        out.flush();
      }
    } catch (IOException | InterruptedException ended) {
      // The caller has closed the connection.
    }
  }

  private String[] answer(Http.Message call) throws InterruptedException {
    String path = call.target().split("\\?")[0];
    Map<String, String> query = query(call.target());
    String body = new String(call.body(), StandardCharsets.UTF_8);
    if (path.equals("/api/kv-watch")) {
      return watch(query);
    }
    synchronized (this) {
      if (path.equals("/api/kv-range")) {
        return range(query);
      }
      if (path.equals("/api/kv-txn")) {
        return transaction(Json.object(body));
      }
      if (path.equals("/api/kv-lease")) {
        Lease lease = new Lease();
        lease.ttlMilliseconds = (Long) Json.object(body).get("ttlMs");
        lease.endMilliseconds = System.nanoTime() / 1_000_000 + lease.ttlMilliseconds;
        leases.put(++lastLease, lease);
        return new String[] {
          "200", "{\"lease\":%d,\"ttlMs\":%d}".formatted(lastLease, lease.ttlMilliseconds)
        };
      }
      long number = Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
      if (path.startsWith("/api/kv-lease-end/")) {
        return new String[] {endLease(number) ? "200" : "404", "{}"};
      }
      Lease lease = leases.get(number);
      if (lease == null) {
        return new String[] {"404", "{}"};
      }
      lease.endMilliseconds = System.nanoTime() / 1_000_000 + lease.ttlMilliseconds;
      return new String[] {"200", "{\"ttlMs\":%d}".formatted(lease.ttlMilliseconds)};
    }
  }

  private String[] range(Map<String, String> query) {
    String prefix = query.getOrDefault("pathPrefix", "");
    String after = query.getOrDefault("after", "");
    List<String> page = new ArrayList<>();
    boolean more = false;
    for (Item item : items.values()) {
      if (item.key().startsWith(prefix) && item.key().compareTo(after) > 0) {
        if (page.size() == PAGE_ITEMS) {
          more = true;
          break;
        }
        page.add(item.json());
      }
    }
    return new String[] {
      "200",
      "{\"items\":[%s],\"hasMore\":%b,\"asOf\":%d}"
          .formatted(String.join(",", page), more, revision)
    };
  }

  private synchronized String[] watch(Map<String, String> query) throws InterruptedException {
    long after = Long.parseLong(query.get("after"));
    String prefix = query.getOrDefault("pathPrefix", "");
    long end =
        System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("waitMs", "0"));
    while (true) {
      List<String> found =
          events.stream()
              .filter(event -> event.revision() > after && event.key().startsWith(prefix))
              .map(Event::json)
              .toList();
      long left = end - System.nanoTime() / 1_000_000;
      if (!found.isEmpty() || left <= 0) {
        return new String[] {
          "200", "{\"events\":[%s],\"asOf\":%d}".formatted(String.join(",", found), revision)
        };
      }
      wait(left);
    }
  }

  @SuppressWarnings("unchecked")
  private String[] transaction(Map<String, Object> call) {
    for (Object row : (List<Object>) call.getOrDefault("precondition", List.of())) {
      Map<String, Object> condition = (Map<String, Object>) row;
      Item item = items.get((String) condition.get("key"));
      if ((item == null ? 0 : item.revision()) != (Long) condition.get("revision")) {
        return new String[] {"412", "{\"items\":[%s]}".formatted(item == null ? "" : item.json())};
      }
    }
    List<Object> writes = (List<Object>) call.getOrDefault("writes", List.of());
    for (Object row : writes) {
      long lease = (Long) ((Map<String, Object>) row).getOrDefault("lease", 0L);
      if (lease != 0 && !leases.containsKey(lease)) {
        return new String[] {"404", "{}"};
      }
    }
    for (Object row : writes) {
      Map<String, Object> entry = (Map<String, Object>) row;
      write(
          (String) entry.get("key"),
          (String) entry.get("value"),
          (Long) entry.getOrDefault("lease", 0L));
    }
    for (Object key : (List<Object>) call.getOrDefault("remove", List.of())) {
      delete((String) key);
    }
    return new String[] {"200", "{\"revision\":" + revision + "}"};
  }

  private static Map<String, String> query(String target) {
    Map<String, String> query = new HashMap<>();
    int mark = target.indexOf('?');
    if (mark >= 0) {
      for (String pair : target.substring(mark + 1).split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
    }
    return query;
  }
}

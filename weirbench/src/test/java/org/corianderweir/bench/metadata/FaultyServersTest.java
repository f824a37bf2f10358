package org.corianderweir.bench.metadata;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.corianderweir.daemon.SystemTimeSource;
import org.corianderweir.http.HttpAddress;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests what callers of a whole entry instance get while its servers spoil their answers. */
public class FaultyServersTest {
  private static final int SERVER_COUNT = 3;
  private static final int CALLER_COUNT = 8;
  private static final int REQUEST_COUNT = Integer.getInteger("faulty.requests", 150);
  private static final int TIMEOUT_MILLISECONDS = 10_000;
  private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
  private static final Set<Integer> STATUSES = Set.of(200, 429, 502, 503, 504);

  /** What callers got, by the target of the request. */
  private record Received(int status, String body) {}

  /** Seeds; the whole list is given by {@code -Dfaulty.seeds=N}. */
  @DataProvider
  public Object[][] seeds() {
    int count = Integer.getInteger("faulty.seeds", 2);
    Object[][] seeds = new Object[count][];
    for (int seed = 0; seed < count; seed++) {
      seeds[seed] = new Object[] {(long) seed};
    }
    return seeds;
  }

  /**
   * Guards against half bodies and invalid statuses that count as answers, and against copies of
   * refusals by which a request that runs counts as not run.
   */
  @Test(dataProvider = "seeds")
  public void callersGetTheWholeTruth(long seed) throws Exception {
    Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    Map<String, Received> received = new ConcurrentHashMap<>();
    List<FaultyServer> servers = new ArrayList<>();
    try (EntryInstanceFixture fixture = new EntryInstanceFixture(new SystemTimeSource())) {
      for (int number = 0; number < SERVER_COUNT; number++) {
        FaultyServer server = new FaultyServer("faulty-" + number, seed * 1_000_003 + number, runs);
        servers.add(server);
        String address = EntryInstanceFixture.HOST + ":" + server.port();
        fixture
            .store()
            .put("servers/faulty-" + number, StoreValues.server(address, "north-a", "ready"));
      }
      fixture
          .store()
          .put("servers/server-1", EntryInstanceFixture.registration(fixture.first(), "draining"));
      fixture
          .store()
          .put("servers/server-2", EntryInstanceFixture.registration(fixture.second(), "draining"));
      HttpAddress address = fixture.settings().callerAddress();
      awaitFaultyServers(address, runs);
      List<CompletableFuture<Void>> callers = new ArrayList<>();
      for (int caller = 0; caller < CALLER_COUNT; caller++) {
        String name = "c" + caller;
        Random random = new Random(seed * 31 + caller);
        callers.add(
            CompletableFuture.runAsync(
                () -> call(address, name, random, received),
                task -> Thread.ofVirtual().start(task)));
      }
      callers.forEach(CompletableFuture::join);
    } finally {
      for (FaultyServer server : servers) {
        server.close();
      }
    }
    List<String> violations = new ArrayList<>();
    received.forEach((target, answer) -> check(target, answer, runs, violations));
    long served = received.values().stream().filter(answer -> answer.status() == 200).count();
    Reporter.log("seed %d: %d of %d served".formatted(seed, served, received.size()), true);
    assertEquals(String.join("\n", violations), "", "seed " + seed);
    assertTrue(served > received.size() / 10, "served " + served);
  }

  /** Sends requests until one has run at a faulty server, so that all of them are known. */
  private static void awaitFaultyServers(HttpAddress address, Map<String, AtomicInteger> runs)
      throws InterruptedException {
    AtomicInteger number = new AtomicInteger();
    EntryInstanceFixture.await(
        () -> {
          try {
            exchange(address, "GET /read/first-" + number.incrementAndGet(), "");
          } catch (IOException closed) {
            return false;
          }
          return !runs.isEmpty();
        });
  }

  private static void check(
      String target, Received answer, Map<String, AtomicInteger> runs, List<String> violations) {
    AtomicInteger counted = runs.get(target);
    int count = counted == null ? 0 : counted.get();
    if (!STATUSES.contains(answer.status())) {
      violations.add(target + " got the status " + answer.status());
    }
    if (answer.status() == 200 && !answer.body().equals(FaultyServer.body(target))) {
      violations.add(target + " got another body: " + answer.body());
    }
    if (PROMISES.contains(answer.status()) && count > 0) {
      violations.add(target + " got " + answer.status() + " and has run");
    }
    if (target.startsWith("/book/") && count > 1) {
      violations.add(target + " has run " + count + " times");
    }
  }

  private static void call(
      HttpAddress address, String name, Random random, Map<String, Received> received) {
    for (int number = 0; number < REQUEST_COUNT; number++) {
      String target = (random.nextBoolean() ? "/book/" : "/read/") + name + "-" + number;
      String identifier =
          switch (random.nextInt(3)) {
            case 0 -> "";
            case 1 -> "Request-Id: again\r\n";
            default -> "Request-Id: " + name + "-" + number + "\r\n";
          };
      try {
        received.put(target, exchange(address, "GET " + target, identifier));
      } catch (IOException closed) {
        // A closed connection promises nothing.
      }
    }
  }

  private static Received exchange(HttpAddress address, String requestLine, String identifier)
      throws IOException {
    try (Socket socket = new Socket(address.host(), address.port())) {
      socket.setSoTimeout(TIMEOUT_MILLISECONDS);
      String head =
          requestLine
              + " HTTP/1.1\r\nHost: rota.example\r\nX-Api-Key: key-1\r\nDeadline-Ms: 4000\r\n"
              + identifier
              + "Connection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
      String statusLine = reader.readLine();
      if (statusLine == null) {
        throw new IOException("closed");
      }
      int length = 0;
      for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
        if (line.startsWith("Content-Length: ")) {
          length = Integer.parseInt(line.substring("Content-Length: ".length()));
        }
      }
      StringBuilder body = new StringBuilder();
      for (int next = 0; next >= 0 && body.length() < length; ) {
        next = reader.read();
        body.append((char) next);
      }
      return new Received(Integer.parseInt(statusLine.split(" ")[1]), body.toString());
    }
  }
}

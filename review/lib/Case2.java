import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Callers with kept connections send orders of 200,000 bytes, one at a time each. When 1.7 times as
 * many come for three seconds, the entry instance runs out of memory and ends; the requests that its
 * servers were working on are never answered.
 */
final class Case2 {
  private static final int USUAL_CLIENTS = 130;
  private static final int BURST_CLIENTS = 91;
  private static final int BODY_BYTES = 200_000;
  private static final int SERVERS = 26;
  private static final int SLOTS = 9;
  private static final int QUEUE = 27;
  private static final int WORK_MILLISECONDS = 1_500;
  private static final int USUAL_MILLISECONDS = 7_000;
  private static final int BURST_MILLISECONDS = 3_000;
  private static final int AFTER_MILLISECONDS = 4_000;
  private static final int CLIENT_INTERVAL_MILLISECONDS = 15;
  private static final int ALLOWED_LOSSES = 3;

  private final Deployment deployment;
  private final Set<String> ran = ConcurrentHashMap.newKeySet();
  private final Map<String, AtomicInteger> outcomes = new ConcurrentSkipListMap<>();
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicLong identifiers = new AtomicLong();
  private final byte[] body = new byte[BODY_BYTES];

  private Case2(Deployment deployment) {
    this.deployment = deployment;
    Arrays.fill(body, (byte) 'x');
  }

  public static void main(String[] arguments) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      status = new Case2(deployment).run(trouble);
    } catch (IOException | InterruptedException failure) {
      System.err.println("the case could not run: " + failure);
    }
    System.exit(status);
  }

  private int run(boolean trouble) throws IOException, InterruptedException {
    for (int number = 1; number <= SERVERS; number++) {
      Semaphore slots = new Semaphore(SLOTS);
      AtomicInteger present = new AtomicInteger();
      ServerStandIn server =
          new ServerStandIn(
              "i-" + number,
              (self, request, output) -> {
                if (present.incrementAndGet() > SLOTS + QUEUE) {
                  present.decrementAndGet();
                  ServerStandIn.write(
                      output,
                      "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRequest-Id: %s\r\nContent-Length: 0\r\n\r\n"
                          .formatted(request.id()));
                  return true;
                }
                slots.acquire();
                ran.add(request.id());
                deployment.note(self.identifier + " runs POST " + request.id());
                Thread.sleep(WORK_MILLISECONDS);
                slots.release();
                present.decrementAndGet();
                ServerStandIn.write(output, self.answer(request, "HTTP/1.1 200 OK", "done"));
                return true;
              });
      deployment.register(server.identifier, server.port(), "desk", SLOTS, number);
    }
    deployment.configure(1, "desk");
    Deployment.Instance entry = deployment.addInstance("entry-1");
    entry.start();
    entry.awaitReady();
    List<Thread> clients = new ArrayList<>();
    long start = System.nanoTime();
    long end = start + (USUAL_MILLISECONDS + BURST_MILLISECONDS + AFTER_MILLISECONDS) * 1_000_000L;
    addClients(clients, USUAL_CLIENTS, entry, end);
    Thread.sleep(Math.max(0, USUAL_MILLISECONDS - (System.nanoTime() - start) / 1_000_000));
    if (trouble) {
      deployment.note("many users come at once, 1.7 times as many as usual");
      long burstEnd = System.nanoTime() + BURST_MILLISECONDS * 1_000_000L;
      addClients(clients, BURST_CLIENTS, entry, burstEnd);
    }
    for (Thread client : clients) {
      client.join();
    }
    boolean alive = entry.process.isAlive();
    String result =
        "%d requests: %s; %d requests on kept connections passed to servers and never answered; the process %s"
            .formatted(
                identifiers.get(),
                outcomes,
                lost.get(),
                alive ? "is alive" : "ended by itself with status " + entry.process.exitValue());
    deployment.note(result);
    System.out.println(result);
    return lost.get() > ALLOWED_LOSSES ? 1 : 0;
  }

  private void addClients(List<Thread> clients, int count, Deployment.Instance entry, long end)
      throws InterruptedException {
    for (int number = 0; number < count; number++) {
      clients.add(Thread.ofVirtual().start(() -> sendUntil(entry, end)));
      Thread.sleep(CLIENT_INTERVAL_MILLISECONDS);
    }
  }

  private void sendUntil(Deployment.Instance entry, long end) {
    RawClient client = null;
    boolean kept = false;
    while (System.nanoTime() < end && entry.process.isAlive()) {
      String id = "request-" + identifiers.incrementAndGet();
      String outcome;
      try {
        if (client == null) {
          client = new RawClient(Deployment.HOST, entry.callerPort, 1_000);
          kept = false;
        }
        deployment.note("client sends POST /order/new " + id);
        RawClient.Answer answer = client.request(request(id), 9_000);
        outcome = Integer.toString(answer.status);
        kept = true;
        if ("close".equalsIgnoreCase(answer.headers.get("Connection"))) {
          client.close();
          client = null;
        }
      } catch (IOException failure) {
        outcome = "no answer";
        if (kept && ran.contains(id)) {
          lost.incrementAndGet();
          deployment.note("LOST " + id + ": " + failure.getMessage());
        }
        client = null;
      }
      deployment.note("client got " + outcome + " for " + id);
      outcomes.computeIfAbsent(outcome, unused -> new AtomicInteger()).incrementAndGet();
    }
  }

  private byte[] request(String id) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.write(
        ("POST /order/new HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 6000\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n")
            .formatted(Deployment.SITE_HOST, id, Deployment.KEY, BODY_BYTES)
            .getBytes(StandardCharsets.ISO_8859_1));
    bytes.write(body);
    return bytes.toByteArray();
  }
}

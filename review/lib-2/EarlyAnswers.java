import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One caller sends large bodies of legal size. For some seconds a part of the servers rejects a part
 * of them before they are in, keeps the connection and reads on later. Ordinary callers ask other
 * servers at the same time.
 */
final class EarlyAnswers {
  private static final int READERS = 16;
  private static final int BODY_BYTES = 24 * 1024 * 1024;
  private static final int DESKS = 20;

  /** Share 0.7 of the servers of a service. */
  private static final int FAULTY_DESKS = 14;

  /** These servers reject 2 of 5 long requests early. */
  private static final int EARLY_COUNT = 2;

  private static final int EARLY_OF = 5;
  private static final int EARLY_TIME = 6_000;
  private static final int HALLS = 12;
  private static final int SLOTS = 3;
  private static final int UPLOAD_WORK = 100;
  private static final int READ_WORK = 880;

  /** Time between an early rejection and the reading of the rest of the body. */
  private static final int LATER = 8_000;

  private static final int CALM_TIME = 3_000;
  private static final int TIME_AFTERWARDS = 8_000;
  private static final int PAUSE = 200;

  /** The rule names more than three. */
  private static final int EXCUSED = 3;

  private static final Set<String> atServer = ConcurrentHashMap.newKeySet();
  private static final Map<String, Integer> uploads = new ConcurrentHashMap<>();
  private static final AtomicInteger longRequests = new AtomicInteger();
  private static final AtomicInteger early = new AtomicInteger();
  private static final AtomicInteger served = new AtomicInteger();
  private static final AtomicInteger lost = new AtomicInteger();
  private static volatile boolean rejectEarly;
  private static volatile boolean stopping;

  private EarlyAnswers() {}

  public static void main(String[] arguments) throws Exception {
    int result = 2;
    try (Run run = new Run(arguments[0])) {
      result = play(run);
    } catch (IOException | RuntimeException failure) {
      failure.printStackTrace();
    }
    System.exit(result);
  }

  private static int play(Run run) throws Exception {
    for (int number = 0; number < DESKS; number++) {
      boolean faulty = number < FAULTY_DESKS;
      Server desk =
          Server.early(
              "i-desk-" + number,
              "rota-desk",
              "erie-a",
              SLOTS,
              (server, head, in, out) -> takeUpload(run, server, faulty, head, in, out));
      run.store.put("servers/" + desk.id, desk.entry("ready"));
    }
    for (int number = 0; number < HALLS; number++) {
      Server hall =
          new Server(
              "i-hall-" + number,
              "booking-hall",
              "erie-a",
              SLOTS,
              (server, request, connection, out) -> answer(run, server, request, out));
      run.store.put("servers/" + hall.id, hall.entry("ready"));
    }
    run.store.put(
        "op/config",
        new Config(1)
            .route("settle", "/settle/", "unsafe", 2_500, 800, 1, "rota-desk", 2, false)
            .route("read", "/read/", "safe", 2_500, 600, 1, "booking-hall", 2, false)
            .service("rota-desk")
            .service("booking-hall")
            .tenant("t", "key-1")
            .json());
    Run.Instance one = run.start("one", "127.0.0.1", "erie-a", "erie-shore", "erie-a/erie-shore");
    if (!run.awaitReady(one, 20_000)) {
      return 2;
    }
    // The instance has been in touch for contactMs.
    Run.sleep(4_000);
    CountDownLatch readers = new CountDownLatch(READERS);
    for (int number = 0; number < READERS; number++) {
      int reader = number;
      Thread.ofVirtual().start(() -> read(run, one, reader, readers));
    }
    Thread.ofVirtual().start(() -> upload(run, one));
    boolean ended = one.process().waitFor(CALM_TIME, TimeUnit.MILLISECONDS);
    if (ended || served.get() == 0) {
      run.note("the case can't run: ended %s, served %d", ended, served.get());
      return 2;
    }
    rejectEarly = Run.TROUBLE;
    run.note("servers reject long requests early: %s", rejectEarly);
    ended = one.process().waitFor(EARLY_TIME, TimeUnit.MILLISECONDS);
    rejectEarly = false;
    ended = ended || one.process().waitFor(TIME_AFTERWARDS, TimeUnit.MILLISECONDS);
    stopping = true;
    readers.await(5, TimeUnit.SECONDS);
    run.note("early rejections: %d, answers to uploads: %s", early.get(), uploads);
    run.note("ordinary requests: %d answered, %d lost", served.get(), lost.get());
    if (ended) {
      run.note("the process ended by itself with status %d", one.process().exitValue());
    }
    return lost.get() > EXCUSED ? 1 : 0;
  }

  private static boolean answer(Run run, Server server, Http.Message request, OutputStream out)
      throws IOException, InterruptedException {
    String id = request.field("Request-Id").orElse("");
    atServer.add(id);
    run.note("server %s begins %s", server.id, id);
    Thread.sleep(READ_WORK);
    out.write(Http.bytes(server.ran(request, 5) + "whole"));
    return true;
  }

  private static boolean takeUpload(
      Run run, Server server, boolean faulty, Http.Message head, InputStream in, OutputStream out)
      throws IOException, InterruptedException {
    String id = head.field("Request-Id").orElse("");
    if (faulty && rejectEarly && isChosen(longRequests.getAndIncrement())) {
      String rejection =
          "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
      out.write(Http.bytes(rejection.formatted(id)));
      early.incrementAndGet();
      run.note("server %s rejects %s before its body is in", server.id, id);
      Thread.sleep(LATER);
      Http.body(head, in);
      run.note("server %s has read the body of %s", server.id, id);
    } else {
      Http.body(head, in);
      Thread.sleep(UPLOAD_WORK);
      out.write(Http.bytes(server.ran(head, 5) + "taken"));
      run.note("server %s has read the body of %s and answered", server.id, id);
    }
    return true;
  }

  /** Returns whether the part that is rejected early grows with this request. */
  private static boolean isChosen(int number) {
    return (number + 1) * EARLY_COUNT / EARLY_OF > number * EARLY_COUNT / EARLY_OF;
  }

  /** Sends one large body after the other, each on a new connection. */
  private static void upload(Run run, Run.Instance one) {
    byte[] body = new byte[BODY_BYTES];
    for (int number = 0; !stopping; number++) {
      String id = "u-" + number;
      String outcome = "closed";
      try (Socket connection = one.connect()) {
        connection.setSoTimeout(8_000);
        OutputStream out = connection.getOutputStream();
        out.write(Http.bytes(head("POST", "/settle/x", id, body.length)));
        out.write(body);
        Http.Message answer = Http.read(new BufferedInputStream(connection.getInputStream()));
        outcome = answer == null ? "closed" : Integer.toString(answer.status());
      } catch (IOException ended) {
        run.note("%s: %s", id, ended);
      }
      run.note("answer to %s: %s", id, outcome);
      uploads.merge(outcome, 1, Integer::sum);
      Run.sleep(outcome.equals("200") ? PAUSE : 1_000);
    }
  }

  /** Sends one ordinary request after the other on a kept connection. */
  private static void read(Run run, Run.Instance one, int reader, CountDownLatch all) {
    for (int round = 0; !stopping; round++) {
      String id = "";
      try (Socket connection = one.connect()) {
        connection.setSoTimeout(8_000);
        BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
        for (int number = 0; !stopping; number++) {
          id = "r-" + reader + "-" + round + "-" + number;
          connection.getOutputStream().write(Http.bytes(head("GET", "/read/x", id, 0)));
          Http.Message answer = Http.read(in);
          if (answer == null) {
            throw new IOException("the connection was closed");
          }
          served.incrementAndGet();
          run.note("answer to %s: %d", id, answer.status());
        }
      } catch (IOException ended) {
        run.note("%s: %s", id, ended);
        if (atServer.contains(id)) {
          lost.incrementAndGet();
          run.note("LOST %s: passed on to a server, its connection was closed without an answer", id);
        }
        Run.sleep(1_000);
      }
    }
    all.countDown();
  }

  private static String head(String method, String target, String id, int length) {
    return ("%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nX-Api-Key: key-1\r\n"
            + "Deadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n")
        .formatted(method, target, id, length);
  }
}

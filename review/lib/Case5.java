import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry instance is stopped while callers read large answers at the speed of their link. The
 * instance ends after less than its grace period and cuts the answers off.
 */
final class Case5 {
  private static final int CALLERS = 2;
  private static final int ANSWER_BYTES = 7_900_000;

  /** A caller reads so many bytes and then waits: about 3 MB, or 25 Mbit, a second. */
  private static final int READ_BYTES = 32 * 1024;

  private static final int READ_INTERVAL_MILLISECONDS = 10;
  private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
  private static final int DEADLINE_MILLISECONDS = 4_000;
  private static final int GRACE_MILLISECONDS = 6_000;

  /** Callers use their look-ups, and so an instance that stops, for up to three times 2 s. */
  private static final int REQUEST_AFTER_SIGNAL_MILLISECONDS = 2_200;

  private static final int LOSS_SLACK_MILLISECONDS = 200;
  private static final int WARM_UP_REQUESTS = 50;
  private static final int MAXIMUM_STATUS = 299;

  private Case5() {}

  public static void main(String[] arguments) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int status = 2;
    try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
      status = run(deployment, trouble);
    } catch (IOException | InterruptedException failure) {
      System.err.println("the case could not run: " + failure);
    }
    System.exit(status);
  }

  private static int run(Deployment deployment, boolean trouble)
      throws IOException, InterruptedException {
    String large = "x".repeat(ANSWER_BYTES);
    ServerStandIn server =
        new ServerStandIn(
            "i-1",
            (self, request, output) -> {
              deployment.note("i-1 runs GET " + request.id());
              String body = request.target.equals("/view/catalogue") ? large : "small";
              ServerStandIn.write(output, self.answer(request, "HTTP/1.1 200 OK", body));
              deployment.note("i-1 has answered " + request.id() + " completely");
              return true;
            });
    deployment.register(server.identifier, server.port(), "desk", 9, 1);
    deployment.configure(1, "desk");
    List<Deployment.Instance> entries =
        List.of(deployment.addInstance("entry-1"), deployment.addInstance("entry-2"));
    for (Deployment.Instance entry : entries) {
      entry.start();
    }
    for (Deployment.Instance entry : entries) {
      entry.awaitReady();
    }
    Deployment.Instance stopped = entries.get(0);
    try (RawClient client = new RawClient(Deployment.HOST, stopped.callerPort, 1_000)) {
      for (int number = 1; number <= WARM_UP_REQUESTS; number++) {
        deployment.note("client sends GET /view/x small-" + number);
        RawClient.Answer answer =
            client.request(request("/view/x", "small-" + number), DEADLINE_MILLISECONDS);
        deployment.note("client got " + answer.status + " for small-" + number);
      }
    }
    Thread.sleep(1_000);
    long signalled = System.nanoTime();
    if (trouble) {
      stopped.signal("TERM");
    }
    Thread.sleep(REQUEST_AFTER_SIGNAL_MILLISECONDS);
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger cut = new AtomicInteger();
    List<Thread> callers = new ArrayList<>();
    for (int number = 1; number <= CALLERS; number++) {
      String id = "large-" + number;
      callers.add(
          Thread.ofPlatform()
              .start(() -> read(deployment, stopped, id, signalled, whole, cut)));
    }
    for (Thread caller : callers) {
      caller.join();
    }
    String end = "runs";
    if (trouble) {
      boolean ended = stopped.process.waitFor(GRACE_MILLISECONDS, TimeUnit.MILLISECONDS);
      end = ended ? "has ended" : "still runs";
    }
    String result =
        "%d large answers, %d whole, %d cut off; the instance %s"
            .formatted(CALLERS, whole.get(), cut.get(), end);
    deployment.note(result);
    System.out.println(result);
    if (whole.get() + cut.get() < CALLERS) {
      return 2;
    }
    return cut.get() == 0 ? 0 : 1;
  }

  private static void read(
      Deployment deployment,
      Deployment.Instance entry,
      String id,
      long signalled,
      AtomicInteger whole,
      AtomicInteger cut) {
    long sent = 0;
    long bytes = 0;
    String outcome;
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      socket.connect(new InetSocketAddress(Deployment.HOST, entry.callerPort), 1_000);
      socket.setSoTimeout(DEADLINE_MILLISECONDS);
      socket
          .getOutputStream()
          .write(request("/view/catalogue", id).getBytes(StandardCharsets.ISO_8859_1));
      sent = System.nanoTime();
      deployment.note("client sent " + id);
      InputStream input = socket.getInputStream();
      String statusLine = RawClient.readLine(input);
      long length = 0;
      String line = RawClient.readLine(input);
      while (!line.isEmpty()) {
        if (line.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:")) {
          length = Long.parseLong(line.substring(line.indexOf(':') + 1).trim());
        }
        line = RawClient.readLine(input);
      }
      if (Integer.parseInt(statusLine.split(" ")[1]) > MAXIMUM_STATUS) {
        deployment.note("client got \"" + statusLine + "\" for " + id);
        return;
      }
      byte[] buffer = new byte[READ_BYTES];
      int count = input.read(buffer);
      while (count >= 0 && bytes < length) {
        bytes += count;
        Thread.sleep(READ_INTERVAL_MILLISECONDS);
        count = bytes < length ? input.read(buffer) : -1;
      }
      outcome = bytes == length ? "the whole answer" : "an end after " + bytes + " of " + length + " bytes";
    } catch (IOException | InterruptedException failure) {
      outcome = "an end after " + bytes + " bytes: " + failure.getMessage();
    }
    long now = System.nanoTime();
    long took = (now - sent) / 1_000_000;
    deployment.note(
        "client got %s for %s, %d ms after sending it, %d ms after the signal"
            .formatted(outcome, id, took, (now - signalled) / 1_000_000));
    if (outcome.equals("the whole answer")) {
      whole.incrementAndGet();
    } else if (took > LOSS_SLACK_MILLISECONDS && took < DEADLINE_MILLISECONDS) {
      cut.incrementAndGet();
    }
  }

  private static String request(String path, String id) {
    return "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\n\r\n"
        .formatted(path, Deployment.SITE_HOST, id, DEADLINE_MILLISECONDS, Deployment.KEY);
  }
}

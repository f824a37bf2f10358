package org.corianderweir.bench.metadata;

import static org.testng.Assert.assertTrue;

import java.io.File;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.corianderweir.bench.metadata.UncontrolledCrowd.Target;
import org.corianderweir.bench.process.ChildProcesses;
import org.corianderweir.bench.process.EntrySettingsText;
import org.corianderweir.bench.process.ResourceUsage;
import org.corianderweir.daemon.DaemonMain;
import org.corianderweir.http.HttpAddress;
import org.corianderweir.http.HttpHeaders;
import org.corianderweir.http.HttpListener;
import org.corianderweir.http.HttpListenerOptions;
import org.corianderweir.http.HttpRequest;
import org.corianderweir.http.HttpResponse;
import org.testng.Reporter;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that clients outside anybody's control don't end an entry instance. They ended a process by
 * lack of memory, and took all connections from other callers.
 */
public class UncontrolledClientsTest {
  private static final String HOST = "127.0.0.1";
  private static final int MEBIBYTE = 1024 * 1024;

  /** Half the heap of deploy/system.toml, so that half a crowd is enough. */
  private static final int HEAP_MEBIBYTES = 48;

  private static final int DEPLOYED_HEAP_MEBIBYTES = 96;
  private static final int MACHINE_MEBIBYTES = 282;
  private static final int MACHINE_DESCRIPTORS = 2_069;

  /** The memory of the smallest machine, less the part of the heap that the test does not have. */
  private static final long RESIDENT_LIMIT_BYTES =
      (long) (MACHINE_MEBIBYTES - (DEPLOYED_HEAP_MEBIBYTES - HEAP_MEBIBYTES)) * MEBIBYTE;

  private static final int DESCRIPTOR_LIMIT =
      MACHINE_DESCRIPTORS * HEAP_MEBIBYTES / DEPLOYED_HEAP_MEBIBYTES;

  private static final long SAMPLING_INTERVAL_MILLISECONDS = 20;
  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(30);
  private static final int READ_TIMEOUT_MILLISECONDS = 5_000;
  private static final int LARGE_RESPONSE_BYTES = 100_000;

  private MetadataStoreStandIn store;
  private HttpListener server;
  private ChildProcesses processes;
  private Process instance;
  private Path directory;
  private HttpAddress callers;
  private volatile long largestResidentBytes;
  private volatile int largestDescriptorCount;

  @BeforeMethod
  public void start() throws Exception {
    largestResidentBytes = 0;
    largestDescriptorCount = 0;
    server =
        new HttpListener(
            new HttpListenerOptions("server", HOST, 0, 2 * MEBIBYTE, 1),
            UncontrolledClientsTest::answer);
    server.start();
    store = new MetadataStoreStandIn(HOST, 0);
    store.start();
    store.put("op/config", StoreValues.configuration(1, 0));
    store.put(
        "servers/server-1", StoreValues.server(HOST + ":" + server.port(), "north-a", "ready"));
    callers = new HttpAddress(HOST, freePorts());
    directory = Files.createTempDirectory("uncontrolled");
    String settings =
        EntrySettingsText.of("entry-1", callers, new HttpAddress(HOST, store.port()))
            .replace("descriptors = 3000", "descriptors = " + DESCRIPTOR_LIMIT);
    Path file = Files.writeString(directory.resolve("settings.ini"), settings);
    processes = new ChildProcesses(directory.toFile());
    instance =
        processes.start(
            "entry-1",
            DaemonMain.class,
            List.of("--platform", "--settings", file.toString()),
            List.of("-Xmx" + HEAP_MEBIBYTES + "m", "-Xss256k", "-XX:+ExitOnOutOfMemoryError"));
    awaitAnswers("before the crowd");
  }

  @AfterMethod(alwaysRun = true)
  public void stop() throws Exception {
    processes.close();
    server.stop(0);
    store.stop();
    try (Stream<Path> files = Files.walk(directory)) {
      files.sorted((one, other) -> other.compareTo(one)).forEach(file -> file.toFile().delete());
    }
  }

  /** Known to fail at times: pipelined requests; runs with {@code -Dpipelined.crowd=true}. */
  @DataProvider
  public Object[][] crowds() {
    List<Object[]> rows = new ArrayList<>();
    for (UncontrolledCrowd crowd : UncontrolledCrowd.values()) {
      if (crowd != UncontrolledCrowd.PIPELINED_AND_NOT_READ
          || Boolean.getBoolean("pipelined.crowd")) {
        rows.add(new Object[] {crowd, List.of(Target.REQUESTS)});
      }
      rows.add(
          new Object[] {
            crowd, List.of(Target.READINESS, Target.LOOK_UPS, Target.PEERS, Target.METRICS)
          });
    }
    return rows.toArray(Object[][]::new);
  }

  @Test(dataProvider = "crowds", singleThreaded = true)
  public void instanceSurvivesAndAnswersAfterwards(UncontrolledCrowd crowd, List<Target> targets)
      throws Exception {
    Thread sampler = Thread.ofPlatform().daemon().start(this::sampleResources);
    try (UncontrolledClients clients = new UncontrolledClients(crowd, callers, targets)) {
      clients.run();
      if (instance.isAlive()) {
        awaitAnswers("beside " + crowd);
      }
    } finally {
      sampler.interrupt();
      sampler.join();
    }
    String result =
        "%s at %s: %s, at most %d MiB resident, %d descriptors"
            .formatted(
                crowd,
                targets,
                instance.isAlive() ? "alive" : "ended with status " + instance.exitValue(),
                largestResidentBytes / MEBIBYTE,
                largestDescriptorCount);
    Reporter.log(result, true);
    assertTrue(instance.isAlive(), result);
    assertTrue(largestResidentBytes <= RESIDENT_LIMIT_BYTES, result);
    assertTrue(largestDescriptorCount <= DESCRIPTOR_LIMIT, result);
  }

  private static CompletableFuture<HttpResponse> answer(HttpRequest request) {
    HttpHeaders headers =
        HttpHeaders.NONE
            .with("Request-Id", request.headers().first("Request-Id").orElse("none"))
            .with("Server-Stamp", "server-1")
            .with("Server-Load", "1,0,3");
    byte[] body = new byte[request.path().endsWith("/large") ? LARGE_RESPONSE_BYTES : 8];
    return CompletableFuture.completedFuture(new HttpResponse(200, headers, body));
  }

  private void sampleResources() {
    try {
      while (instance.isAlive()) {
        sampleOnce();
        TimeUnit.MILLISECONDS.sleep(SAMPLING_INTERVAL_MILLISECONDS);
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void sampleOnce() {
    String[] descriptors = new File("/proc/" + instance.pid() + "/fd").list();
    largestDescriptorCount =
        Math.max(largestDescriptorCount, descriptors == null ? 0 : descriptors.length);
    try {
      largestResidentBytes =
          Math.max(largestResidentBytes, ResourceUsage.of(List.of(instance)).residentBytes());
    } catch (UncheckedIOException ended) {
      // The process has ended between two samples.
    }
  }

  /** Waits until each interface for HTTP has answered one ordinary request. */
  private void awaitAnswers(String moment) throws Exception {
    for (Target target :
        List.of(Target.REQUESTS, Target.READINESS, Target.LOOK_UPS, Target.METRICS)) {
      long endNanoseconds = System.nanoTime() + ANSWER_LIMIT.toNanos();
      Optional<String> problem = problemOfRequest(target);
      while (problem.isPresent() && instance.isAlive() && System.nanoTime() < endNanoseconds) {
        TimeUnit.MILLISECONDS.sleep(100);
        problem = problemOfRequest(target);
      }
      assertTrue(
          problem.isEmpty() || !instance.isAlive(),
          "%s %s: %s; %d MiB resident, %d descriptors"
              .formatted(
                  target,
                  moment,
                  problem.orElse(""),
                  largestResidentBytes / MEBIBYTE,
                  largestDescriptorCount));
    }
  }

  private Optional<String> problemOfRequest(Target target) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(HOST, target.port(callers)), READ_TIMEOUT_MILLISECONDS);
      socket.setSoTimeout(READ_TIMEOUT_MILLISECONDS);
      String request = target.head("GET", "ordinary", "Connection: close\r\n");
      socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
      String response =
          new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
      return response.startsWith("HTTP/1.1 200 ")
          ? Optional.empty()
          : Optional.of(response.lines().findFirst().orElse("closed without an answer"));
    } catch (IOException failure) {
      return Optional.of(failure.toString());
    }
  }

  /** Returns the first of consecutive ports that were free together. */
  private static int freePorts() throws IOException {
    for (int attempt = 0; attempt < 100; attempt++) {
      List<ServerSocket> sockets = new ArrayList<>();
      try {
        InetAddress host = InetAddress.getByName(HOST);
        sockets.add(new ServerSocket(0, 1, host));
        int first = sockets.getFirst().getLocalPort();
        for (int offset = 1; offset < EntrySettingsText.PORT_COUNT; offset++) {
          sockets.add(new ServerSocket(first + offset, 1, host));
        }
        return first;
      } catch (IOException | IllegalArgumentException taken) {
        // Another range is tried.
      } finally {
        for (ServerSocket socket : sockets) {
          socket.close();
        }
      }
    }
    throw new IOException("no free ports");
  }
}

package org.corianderweir.bench.clients;

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
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.corianderweir.bench.clients.UncontrolledCrowd.Target;
import org.corianderweir.bench.metadata.MetadataStoreStandIn;
import org.corianderweir.bench.metadata.StoreValues;
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

/**
 * An entry instance in a process of its own with half the heap and half the descriptors of the
 * smallest machine, and its store and one server in this process. Closing it ends all of them.
 */
public final class InstanceProcess implements AutoCloseable {
  private static final String HOST = "127.0.0.1";
  static final int MEBIBYTE = 1024 * 1024;

  /** Half the heap of deploy/system.toml, so that half a crowd is enough. */
  private static final int HEAP_MEBIBYTES = 48;

  private static final int DEPLOYED_HEAP_MEBIBYTES = 96;
  private static final int MACHINE_MEBIBYTES = 282;
  private static final int MACHINE_DESCRIPTORS = 2_069;

  /** The memory of the smallest machine, less the part of the heap that this process lacks. */
  public static final long RESIDENT_LIMIT_BYTES =
      (long) (MACHINE_MEBIBYTES - (DEPLOYED_HEAP_MEBIBYTES - HEAP_MEBIBYTES)) * MEBIBYTE;

  /** The descriptors of the smallest machine, in proportion to the heap. */
  public static final int DESCRIPTOR_LIMIT =
      MACHINE_DESCRIPTORS * HEAP_MEBIBYTES / DEPLOYED_HEAP_MEBIBYTES;

  private static final Duration ANSWER_LIMIT = Duration.ofSeconds(30);
  private static final int READ_TIMEOUT_MILLISECONDS = 5_000;
  private static final long RETRY_INTERVAL_MILLISECONDS = 100;
  private static final int LARGE_RESPONSE_BYTES = 100_000;
  private static final int PORT_ATTEMPTS = 100;

  private final MetadataStoreStandIn store = new MetadataStoreStandIn(HOST, 0);
  private final HttpListener server =
      new HttpListener(
          new HttpListenerOptions("server", HOST, 0, 2 * MEBIBYTE, 1), InstanceProcess::answer);
  private final ChildProcesses processes;
  private final HttpAddress callers;
  private final Process process;

  /**
   * Starts an instance.
   *
   * @param directory directory for its settings and its output
   * @param virtualMachineOptions further options for its virtual machine
   */
  public InstanceProcess(Path directory, List<String> virtualMachineOptions) throws IOException {
    processes = new ChildProcesses(directory.toFile());
    server.start();
    store.start();
    store.put("op/config", StoreValues.configuration(1, 0));
    store.put(
        "servers/server-1", StoreValues.server(HOST + ":" + server.port(), "north-a", "ready"));
    callers = new HttpAddress(HOST, freePorts());
    String settings =
        EntrySettingsText.of("entry-1", callers, new HttpAddress(HOST, store.port()))
            .replace("descriptors = 3000", "descriptors = " + DESCRIPTOR_LIMIT);
    Path file = Files.writeString(directory.resolve("settings.ini"), settings);
    List<String> options =
        new ArrayList<>(
            List.of("-Xmx" + HEAP_MEBIBYTES + "m", "-Xss256k", "-XX:+ExitOnOutOfMemoryError"));
    options.addAll(virtualMachineOptions);
    process =
        processes.start(
            "entry-1",
            DaemonMain.class,
            List.of("--platform", "--settings", file.toString()),
            options);
  }

  @Override
  public void close() {
    processes.close();
    server.stop(0);
    store.stop();
  }

  /** Returns the address for callers. */
  public HttpAddress callers() {
    return callers;
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the exit status of the process; empty while it runs. */
  public OptionalInt exitStatus() {
    return process.isAlive() ? OptionalInt.empty() : OptionalInt.of(process.exitValue());
  }

  /** Returns the resident memory of the process in bytes, or 0 if it has ended. */
  long residentBytes() {
    try {
      return ResourceUsage.of(List.of(process)).residentBytes();
    } catch (UncheckedIOException ended) {
      return 0;
    }
  }

  /** Returns the number of open descriptors of the process, or 0 if it has ended. */
  int descriptorCount() {
    String[] descriptors = new File("/proc/" + process.pid() + "/fd").list();
    return descriptors == null ? 0 : descriptors.length;
  }

  /**
   * Waits until each interface for HTTP has answered one ordinary request.
   *
   * @return the interface that did not answer in time, and why; empty if all did or if the process
   *     has ended
   */
  public Optional<String> awaitAnswers() throws InterruptedException {
    for (Target target :
        List.of(Target.REQUESTS, Target.READINESS, Target.LOOK_UPS, Target.METRICS)) {
      long endNanoseconds = System.nanoTime() + ANSWER_LIMIT.toNanos();
      Optional<String> problem = problemOfRequest(target);
      while (problem.isPresent() && isAlive() && System.nanoTime() < endNanoseconds) {
        TimeUnit.MILLISECONDS.sleep(RETRY_INTERVAL_MILLISECONDS);
        problem = problemOfRequest(target);
      }
      if (problem.isPresent() && isAlive()) {
        return Optional.of(target + ": " + problem.get());
      }
    }
    return Optional.empty();
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

  private static CompletableFuture<HttpResponse> answer(HttpRequest request) {
    HttpHeaders headers =
        HttpHeaders.NONE
            .with("Request-Id", request.headers().first("Request-Id").orElse("none"))
            .with("Server-Stamp", "server-1")
            .with("Server-Load", "1,0,3");
    byte[] body = new byte[request.path().endsWith("/large") ? LARGE_RESPONSE_BYTES : 8];
    return CompletableFuture.completedFuture(new HttpResponse(200, headers, body));
  }

  /** Returns the first of consecutive ports that were free together. */
  private static int freePorts() throws IOException {
    for (int attempt = 0; attempt < PORT_ATTEMPTS; attempt++) {
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

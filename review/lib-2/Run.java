import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One run of a script: its record, the store and the entry instances as the deploy file has it. */
final class Run implements AutoCloseable {
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

  private static final long LONGEST_MILLISECONDS = 110_000;

  final Store store;
  final Path folder;
  private final PrintWriter record;
  private final long begin = System.nanoTime();
  private final List<Process> processes = Collections.synchronizedList(new ArrayList<>());
  private int graceSeconds = 6;

  /** An entry instance. */
  record Instance(
      String name, Process process, String host, int callers, int readiness, int directory,
      int metrics, Path log) {
    Socket connect() throws IOException {
      Socket socket = new Socket(host, callers);
      socket.setTcpNoDelay(true);
      return socket;
    }
  }

  Run(String recordFile) throws IOException {
    record = new PrintWriter(recordFile);
    folder = Files.createTempDirectory("review-2-");
    store = new Store();
    Runtime.getRuntime()
        .addShutdownHook(new Thread(() -> processes.forEach(Process::destroyForcibly)));
    Thread.ofPlatform().daemon().start(this::watch);
  }

  /** Ends a run that takes too long; the hook then ends the processes. */
  private void watch() {
    sleep(LONGEST_MILLISECONDS);
    note("the run takes too long");
    System.exit(2);
  }

  synchronized void note(String format, Object... values) {
    record.printf("%8.3f %s%n", (System.nanoTime() - begin) / 1e9, format.formatted(values));
    record.flush();
  }

  static void sleep(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  static int freePort(String host) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
      return socket.getLocalPort();
    }
  }

  /** Sets the time between SIGTERM and SIGKILL in the settings of instances that start later. */
  void setGraceSeconds(int seconds) {
    graceSeconds = seconds;
  }

  /** Replaces a line in the settings of an instance, as the platform does when they change. */
  void changeSettings(Instance instance, String line, String replacement) throws IOException {
    Path file = folder.resolve(instance.name() + ".ini");
    String settings = Files.readString(file);
    if (!settings.contains(line)) {
      throw new IOException("the settings have no line " + line);
    }
    Files.writeString(file, settings.replace(line, replacement));
    note("settings of %s: %s", instance.name(), replacement);
  }

  /** Starts an entry instance with the command and the settings of the deploy file. */
  Instance start(String name, String host, String zone, String region, String zones)
      throws IOException {
    String deploy = Files.readString(Path.of("deploy/system.toml"));
    int callers = freePort(host);
    int readiness = freePort(host);
    int directory = freePort(host);
    int metrics = freePort(host);
    Map<String, String> fields = new LinkedHashMap<>();
    fields.put("{{nodeName}}", name);
    fields.put("{{region}}", region);
    fields.put("{{zone}}", zone);
    fields.put("{{#zones}}{{@}}/{{.}}{{,}}{{/zones}}", zones);
    fields.put("{{listen.front}}", host + ":" + callers);
    fields.put("{{listen.ready}}", host + ":" + readiness);
    fields.put("{{listen.directory}}", host + ":" + directory);
    fields.put("{{bounds.ttl_max_s}}", "5");
    fields.put("{{portRange.0}}", Integer.toString(freePort(host)));
    fields.put("{{platform.address}}", store.address());
    fields.put("{{heartbeatMs}}", "1500");
    fields.put("{{bounds.graceS}}", Integer.toString(graceSeconds));
    fields.put("{{bounds.retryBudgetRatio}}", "0.2");
    fields.put("{{bounds.budgetMargin}}", "112");
    fields.put("{{bounds.budgetWindowS}}", "10");
    fields.put("{{bounds.quotaOverage}}", "0.1");
    fields.put("{{bounds.quotaMargin}}", "20");
    fields.put("{{bounds.quotaWindowS}}", "5");
    fields.put("{{limits.maxFds}}", "2870");
    String settings = Files.readString(Path.of("deploy/settings.ini"));
    for (Map.Entry<String, String> field : fields.entrySet()) {
      settings = settings.replace(field.getKey(), field.getValue());
    }
    settings = settings.replace("port = 9464", "port = " + metrics);
    if (settings.contains("{{")) {
      throw new IOException("a field of the settings is not filled in");
    }
    Path file = folder.resolve(name + ".ini");
    Files.writeString(file, settings);
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"").matcher(deploy);
    if (!run.find()) {
      throw new IOException("the deploy file has no command");
    }
    List<String> command =
        new ArrayList<>(Arrays.asList(run.group(1).split(" ")));
    command.set(command.indexOf("--settings") + 1, file.toString());
    Path log = folder.resolve(name + ".log");
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
    builder.environment().put("WEIR_PROCESSOR_SHARE", "0.42");
    builder.environment().put("WEIR_PROCESSOR_CORES", "1");
    Process process = builder.start();
    processes.add(process);
    note("start %s pid=%d", name, process.pid());
    return new Instance(name, process, host, callers, readiness, directory, metrics, log);
  }

  /** Waits until an instance says that it is ready. */
  boolean awaitReady(Instance instance, long milliseconds) {
    long end = System.nanoTime() + milliseconds * 1_000_000;
    while (System.nanoTime() < end) {
      try (Socket socket = new Socket(instance.host(), instance.readiness())) {
        socket.setSoTimeout(1000);
        socket
            .getOutputStream()
            .write(Http.bytes("GET /api/readiness HTTP/1.1\r\nHost: r\r\n\r\n"));
        if (Http.read(socket.getInputStream()).status() == 200) {
          note("%s is ready", instance.name());
          return true;
        }
      } catch (IOException | RuntimeException notYet) {
        // It has not begun to listen.
      }
      sleep(50);
    }
    return false;
  }

  static void signal(Process process, String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
  }

  @Override
  public void close() {
    for (Process process : processes) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
    }
    record.close();
    if (System.getenv("KEEP") == null) {
      try (var files = Files.list(folder)) {
        files.forEach(file -> file.toFile().delete());
        Files.delete(folder);
      } catch (IOException left) {
        System.err.println("temporary folder not removed");
      }
    } else {
      System.err.println("logs in " + folder);
    }
  }
}

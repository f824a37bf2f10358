package org.corianderweir.daemon;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** Tests of {@link EntryDaemon} as a process. */
public class EntryDaemonTest {
  private static final int EXIT_FAILED = 1;
  private static final long EXIT_TIMEOUT_SECONDS = 60;

  /**
   * The process kept running and ignored signals when its port was taken by another build on the
   * same machine.
   */
  @Test
  public void aProcessWhosePortIsTakenEnds() throws IOException, InterruptedException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    try (ServerSocket taken = new ServerSocket(0, 1, loopback)) {
      Path settings = Files.createTempFile("entry", ".ini");
      Files.writeString(settings, settings(loopback.getHostAddress(), taken.getLocalPort()));
      Process process =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-cp",
                  System.getProperty(
                      "surefire.test.class.path", System.getProperty("java.class.path")),
                  DaemonMain.class.getName(),
                  "--platform",
                  "--settings",
                  settings.toString())
              .redirectOutput(ProcessBuilder.Redirect.DISCARD)
              .redirectError(ProcessBuilder.Redirect.DISCARD)
              .start();
      try {
        assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "still runs");
        assertEquals(process.exitValue(), EXIT_FAILED);
      } finally {
        process.destroyForcibly();
        Files.delete(settings);
      }
    }
  }

  /** Returns settings in which all addresses use the same port, which is taken. */
  private static String settings(String host, int port) {
    String address = host + ":" + port;
    return """
        [instance]
        name = one
        region = north
        availability-zone = north-a
        [fleet]
        availability-zones = north-a/north
        [callers]
        address = %1$s
        readiness-address = %1$s
        look-up-address = %1$s
        longest-look-up-lifetime-seconds = 5
        [peers]
        port = %2$d
        [metrics]
        port = %2$d
        [store]
        address = %1$s
        heartbeat-milliseconds = 1500
        [limits]
        descriptors = 1000
        [bounds]
        stop-seconds = 3
        retry-ratio = 0.2
        retry-margin = 100
        retry-window-seconds = 10
        rate-overage = 0.1
        rate-margin = 20
        rate-window-seconds = 5
        """
        .formatted(address, port);
  }
}

package org.corianderweir.bench.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.corianderweir.bench.metadata.MetadataStoreStandIn;
import org.corianderweir.bench.metadata.StoreValues;
import org.corianderweir.http.HttpAddress;
import org.testng.annotations.Test;

/** Tests of the whole output of an entry instance that is stopped as a process. */
public class StoppedProcessTest {
  private static final int FIRST_PORT = 24_000;
  private static final long REQUEST_PAUSE_MILLISECONDS = 20;

  /** The log ended at SIGTERM, because the logging library closed it in a shutdown hook. */
  @Test
  public void theLogLastsUntilTheProcessEnds() throws Exception {
    MetadataStoreStandIn store = new MetadataStoreStandIn("127.0.0.1", 0);
    store.start();
    store.put("op/config", StoreValues.configuration(1, 1_000));
    Path directory = Files.createTempDirectory("stopped");
    SoakOptions options = SoakOptions.builder(1).sizes(1, 0, 0).firstPort(FIRST_PORT).build();
    SoakEvidence evidence = new SoakEvidence();
    HttpAddress storeAddress = new HttpAddress("127.0.0.1", store.port());
    try (EntryProcesses processes =
        new EntryProcesses(options, storeAddress, directory, evidence)) {
      processes.startAll();
      awaitLine(directory, "WEIR-1001");
      CompletableFuture<Void> stop = CompletableFuture.runAsync(() -> stop(processes));
      awaitLine(directory, "WEIR-1002");
      List<String> expected = new ArrayList<>(List.of("event=WEIR-1002 "));
      while (request(processes.callerAddress(0), "during-the-stop-" + expected.size())) {
        expected.add("subject=during-the-stop-" + expected.size() + " ");
      }
      expected.add("event=WEIR-1003 ");
      stop.get(30, TimeUnit.SECONDS);
      String log = log(directory);
      assertEquals(expected.stream().filter(text -> !log.contains(text)).toList(), List.of());
      assertTrue(expected.size() > 2, log);
    } finally {
      store.stop();
    }
  }

  private static void stop(EntryProcesses processes) {
    try {
      processes.stopAndStart(0, Duration.ZERO);
    } catch (InterruptedException interrupted) {
      throw new AssertionError(interrupted);
    }
  }

  /** Sends a request; returns whether it was answered, and not refused by the kernel. */
  private static boolean request(HttpAddress address, String identifier) throws Exception {
    try (Socket socket = new Socket(address.host(), address.port())) {
      String head =
          "GET /read/x HTTP/1.1\r\nHost: rota.example\r\nRequest-Id: "
              + identifier
              + "\r\nX-Api-Key: key-1\r\nConnection: close\r\n\r\n";
      socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
      int answerBytes = socket.getInputStream().readAllBytes().length;
      TimeUnit.MILLISECONDS.sleep(REQUEST_PAUSE_MILLISECONDS);
      return answerBytes > 0;
    } catch (IOException refused) {
      return false;
    }
  }

  private static void awaitLine(Path directory, String text) throws Exception {
    for (int attempt = 0; attempt < 1_000; attempt++) {
      if (log(directory).contains(text)) {
        return;
      }
      TimeUnit.MILLISECONDS.sleep(20);
    }
    throw new AssertionError(text + " is not in the log: " + log(directory));
  }

  private static String log(Path directory) {
    try {
      return Files.readString(directory.resolve("entry-0.log"));
    } catch (IOException notYetWritten) {
      return "";
    }
  }
}

package org.corianderweir.bench.soak;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.corianderweir.bench.soak.SoakEvidence.Ending;
import org.corianderweir.http.HttpAddress;
import org.testng.annotations.Test;

/** Tests of {@link SoakCaller}. */
public class SoakCallerTest {
  private static final int FIRST_PORT = 24_300;
  private static final int RUN_MILLISECONDS = 1_500;

  /**
   * A caller sent a request on a connection that had ended before, and the soak reported it as cut
   * off by a planned stop of the next process.
   */
  @Test
  public void connectionThatHasEndedIsNotUsedAgain() throws Exception {
    // The server of this test answers one request on a connection, so callers must not pipeline.
    SoakOptions options =
        SoakOptions.builder(1).sizes(1, 0, 1).firstPort(FIRST_PORT).singleRequests(true).build();
    SoakEvidence evidence = new SoakEvidence();
    EntryProcesses processes =
        new EntryProcesses(
            options,
            new HttpAddress("127.0.0.1", FIRST_PORT + 1),
            Files.createTempDirectory("caller"),
            evidence);
    SoakCaller caller = new SoakCaller(0, options, processes, evidence);
    ExecutorService threads = Executors.newFixedThreadPool(2);
    try (ServerSocket server = new ServerSocket(FIRST_PORT, 1, InetAddress.getLoopbackAddress())) {
      threads.submit(() -> answerAndClose(server));
      Future<?> calls = threads.submit(caller);
      TimeUnit.MILLISECONDS.sleep(RUN_MILLISECONDS);
      caller.stop();
      calls.get(20, TimeUnit.SECONDS);
    } finally {
      threads.shutdownNow();
    }
    List<SoakEvidence.Call> cut =
        evidence.calls().stream().filter(call -> call.ending() instanceof Ending.Cut).toList();
    assertEquals(cut, List.of());
  }

  /** Answers one request on each connection and closes it without saying so before. */
  private static Void answerAndClose(ServerSocket server) throws IOException {
    while (true) {
      try (Socket connection = server.accept()) {
        connection.getInputStream().read(new byte[4096]);
        connection
            .getOutputStream()
            .write(
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                    .getBytes(StandardCharsets.ISO_8859_1));
      }
    }
  }
}

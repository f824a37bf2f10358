package org.corianderweir.http;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of requests that the thread which accepts and reads has not seen when the listener stops.
 */
public class ListenerStopTest {
  private static final int CALLER_COUNT = 8;
  private static final int CUT_OFF = -1;
  private static final String HOLD = "/hold";

  @DataProvider
  public Object[][] connections() {
    return new Object[][] {{"in the queue of the listening socket", false}, {"kept idle", true}};
  }

  /**
   * The kernel reset the connections in the queue when the listening socket closed, and a kept
   * connection was closed as idle although its request had arrived: both requests were cut off.
   */
  @Test(dataProvider = "connections", timeOut = 60_000)
  public void requestSentBeforeTheStopIsAnswered(String name, boolean kept) throws Exception {
    HeldThread held = new HeldThread();
    HttpListener listener =
        new HttpListener(new HttpListenerOptions("stopping", "127.0.0.1", 0, 64, 1), held);
    listener.start();
    List<PipeliningCaller> callers = new ArrayList<>();
    try (PipeliningCaller holder = new PipeliningCaller(listener.port())) {
      if (kept) {
        connect(callers, listener);
        for (PipeliningCaller caller : callers) {
          caller.send(PipeliningCaller.get("/first"));
          caller.read();
        }
      }
      holder.send(PipeliningCaller.get(HOLD));
      held.begun.await();
      if (!kept) {
        connect(callers, listener);
      }
      for (PipeliningCaller caller : callers) {
        caller.send(PipeliningCaller.get("/late"));
      }
      Thread stop = new Thread(() -> listener.stop(Duration.ZERO, Duration.ofSeconds(20)));
      stop.start();
      // The stop has closed what it closes at once, and waits.
      while (stop.getState() != Thread.State.TIMED_WAITING) {
        Thread.onSpinWait();
      }
      held.released.countDown();
      List<Integer> statuses = new ArrayList<>();
      for (PipeliningCaller caller : callers) {
        statuses.add(status(caller));
      }
      assertEquals(statuses, Collections.nCopies(CALLER_COUNT, 200), name);
      stop.join();
    } finally {
      held.released.countDown();
      listener.stop(0);
      for (PipeliningCaller caller : callers) {
        caller.close();
      }
    }
  }

  /** Answers that were ready behind a slow one were dropped, and a request that waited, too. */
  @Test(timeOut = 60_000)
  public void eachRequestThatWasReadGetsItsAnswerAfterTheGrace() throws Exception {
    HeldRequests held = new HeldRequests();
    HttpListener listener =
        new HttpListener(new HttpListenerOptions("stopping", "127.0.0.1", 0, 64, 1), held);
    listener.start();
    try (PipeliningCaller caller = new PipeliningCaller(listener.port())) {
      caller.send(
          PipeliningCaller.get("/safe/slow")
              + PipeliningCaller.get("/safe/ready")
              + PipeliningCaller.get("/unsafe"));
      held.awaitStarted(2);
      held.respond("/safe/ready");
      while (listener.openRequestCount() < 3) {
        Thread.onSpinWait();
      }
      listener.stop(
          new ListenerStop(
              Duration.ZERO, Duration.ofMillis(200), () -> {}, Duration.ofSeconds(10)));
      List<PipeliningCaller.Answer> answers = List.of(caller.read(), caller.read(), caller.read());
      assertEquals(
          answers.stream().map(PipeliningCaller.Answer::status).toList(), List.of(502, 200, 503));
      assertEquals(answers.get(1).body(), "/safe/ready");
      assertEquals(answers.get(2).closes(), true);
      assertEquals(held.answer("/safe/slow").isCancelled(), true);
      assertEquals(held.started().size(), 2, held.started().toString());
      assertEquals(listener.openRequestCount(), 0);
    } finally {
      listener.stop(0);
    }
  }

  private static void connect(List<PipeliningCaller> callers, HttpListener listener)
      throws IOException {
    for (int number = 0; number < CALLER_COUNT; number++) {
      callers.add(new PipeliningCaller(listener.port()));
    }
  }

  private static int status(PipeliningCaller caller) {
    try {
      return caller.read().status();
    } catch (IOException ended) {
      return CUT_OFF;
    }
  }

  /** Holds up the thread that accepts and reads while it looks at a certain request. */
  private static final class HeldThread implements CallerRequestHandler {
    private final CountDownLatch begun = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);

    @Override
    public CompletableFuture<HttpResponse> handle(HttpRequest request, CallerConnection caller) {
      return CompletableFuture.completedFuture(HttpResponse.json(200, "{}"));
    }

    @Override
    public boolean mayRunBeside(HttpRequest head) {
      if (head.path().equals(HOLD)) {
        begun.countDown();
        try {
          released.await(30, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
          Thread.currentThread().interrupt();
        }
      }
      return false;
    }
  }
}
